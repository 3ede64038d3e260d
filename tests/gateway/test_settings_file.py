from pathlib import Path

import structlog

from troutswitch.common import Address
from troutswitch.gateway.settings import Bounds, GatewaySettings, GatewaySettingsError
from troutswitch.gateway.settings import StoreSettings as Store
from troutswitch.gateway.settings_file import SettingsFile

HERE = Address("127.0.0.1", 1)


def load(path: Path) -> GatewaySettings:
    text = path.read_text() if path.exists() else "missing"
    if not text.isdigit():
        raise GatewaySettingsError(f"{path}: expected a number")
    bounds = Bounds(drain=float(text))
    return GatewaySettings("n", "z", HERE, HERE, "h", (1, 2), Store(HERE), bounds)


def watched(path: Path) -> SettingsFile:
    path.write_text("2")
    return SettingsFile(path, load, structlog.get_logger())


def test_an_unchanged_file_tells_nothing(tmp_path: Path) -> None:
    assert watched(tmp_path / "settings").reload_if_changed() is None


def test_a_changed_file_is_read_once(tmp_path: Path) -> None:
    path = tmp_path / "settings"
    held = watched(path)
    path.write_text("3")
    changed = held.reload_if_changed()
    assert changed is not None
    assert changed.bounds.drain == 3.0
    assert held.reload_if_changed() is None


def test_a_file_that_is_wrong_or_gone_leaves_the_settings_in_force(tmp_path: Path) -> None:
    path = tmp_path / "settings"
    held = watched(path)
    path.write_text("two")
    assert held.reload_if_changed() is None
    path.unlink()
    assert held.reload_if_changed() is None
    path.write_text("4")
    again = held.reload_if_changed()
    assert again is not None
    assert again.bounds.drain == 4.0
