"""The simulated platform keeps its values and revisions over a restart."""

from demo.platform import Platform


def test_revisions_and_values_outlive_a_restart(tmp_path):
    journal = tmp_path / "platform.journal"
    before = Platform(journal)
    before.put("services/booth-sync", "first")
    before.put("hosts/viti-west/nadi-a", "hosts")
    before.put("services/booth-sync", "second\n")
    before.put("hosts/viti-west/nadi-a", None)
    after = Platform(journal)
    assert after.revision == 4
    assert after.latest_after(0) == before.latest_after(0)
    assert after.find("services/booth-sync").text == "second\n"
    assert after.put("services/booth-sync", "third") == 5
