"""Forms that leave this program or outlive it, held byte for byte as they are today.

A daemon of the former version in the same fleet, and a record stored earlier, must be understood.
The bytes lie in `data` and are no result of the code under test; all values that are encoded are
built in `samples`, so that a renaming of the code touches one module here.
"""
