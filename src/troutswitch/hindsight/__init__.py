"""What decisions could have reached with hindsight, worked out from daemons' logs."""
