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


def settings_file_of(path: Path) -> SettingsFile:
    path.write_text("2")
    return SettingsFile(path, load, structlog.get_logger())


def test_unchanged_file_is_not_reloaded(tmp_path: Path) -> None:
    assert settings_file_of(tmp_path / "settings").reload_if_changed() is None


def test_changed_file_is_reloaded_once(tmp_path: Path) -> None:
    path = tmp_path / "settings"
    settings_file = settings_file_of(path)
    path.write_text("3")
    changed = settings_file.reload_if_changed()
    assert changed is not None
    assert changed.bounds.drain == 3.0
    assert settings_file.reload_if_changed() is None


def test_invalid_or_missing_file_is_not_loaded(tmp_path: Path) -> None:
    path = tmp_path / "settings"
    settings_file = settings_file_of(path)
    path.write_text("two")
    assert settings_file.reload_if_changed() is None
    path.unlink()
    assert settings_file.reload_if_changed() is None
    path.write_text("4")
    restored = settings_file.reload_if_changed()
    assert restored is not None
    assert restored.bounds.drain == 4.0
