"""Days in operation: a new version beside the old one, the operators' console, drain."""

from __future__ import annotations

from .rig import Rig, rig


def test_a_new_version_binds_the_clients_address_while_the_old_one_serves() -> None:
    with rig() as old:
        new = Rig(listen=f"{old.at[0]}:{old.at[1]}")
        try:
            assert new.at == old.at
            wire = new.ask(1)
            for one in (old, new):
                one.turn()
            assert old.count("accepted") + new.count("accepted") == 1
            wire.close()
        finally:
            new.close()
