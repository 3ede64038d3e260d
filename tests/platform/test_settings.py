"""Settings that the daemon does not use are accepted and validated."""

from pathlib import Path

import pytest

from troutswitch.common import Address
from troutswitch.gateway.settings import GatewaySettingsError
from troutswitch.platform.settings import format_settings, load_gateway_settings

INVALID_UNUSED_SETTINGS = (
    ('heartbeatMs = "often"', "heartbeatMs"),
    ('seedNodes = ["nowhere"]', "nowhere"),
    ('[limits]\nmemoryMb = "much"', "memoryMb"),
    ('[limits]\nmaxFds = "many"', "maxFds"),
    ('[timingBounds]\nrecoveryS = "soon"', "recoveryS"),
    ('[timingBounds]\nsettleTimeoutMs = "soon"', "settleTimeoutMs"),
    ('[timingBounds]\nackTimeoutMs = "soon"', "ackTimeoutMs"),
)


def load(tmp_path: Path, more: str) -> None:
    text = format_settings("n", "127.0.0.1", 1, 2, (3, 4), Address("127.0.0.1", 5))
    rest = text.replace("seedNodes = []\n", "").replace("[timingBounds]\ngracePeriodS = 8\n", "")
    key, _, tables = rest.partition("[listen]")
    path = tmp_path / "settings"
    path.write_text(f"{key}{more}\n[listen]{tables}" if more[0] != "[" else f"{rest}{more}\n")
    load_gateway_settings(path)


def test_unused_settings_are_accepted(tmp_path: Path) -> None:
    load(tmp_path, 'heartbeatMs = 900\nseedNodes = ["127.0.0.1:9"]')
    load(tmp_path, "[limits]\nmemoryMb = 64\nmaxFds = 1024")
    load(tmp_path, "[timingBounds]\nrecoveryS = 12\nsettleTimeoutMs = 1000\nackTimeoutMs = 4000")


@pytest.mark.parametrize(("text", "message"), INVALID_UNUSED_SETTINGS)
def test_invalid_value_of_an_unused_setting_is_refused(
    tmp_path: Path, text: str, message: str
) -> None:
    with pytest.raises(GatewaySettingsError, match=message):
        load(tmp_path, text)


@pytest.mark.parametrize(("memory_mb", "expected"), [(0, 0), (160, 160_000_000)])
def test_written_settings_name_the_memory_limit(
    tmp_path: Path, memory_mb: int, expected: int
) -> None:
    """Guards against a soak whose daemons do not know the limit that it checks."""
    path = tmp_path / "settings"
    address = Address("127.0.0.1", 5)
    path.write_text(format_settings("n", "127.0.0.1", 1, 2, (3, 4), address, memory_mb))
    assert load_gateway_settings(path).memory_bytes == expected
