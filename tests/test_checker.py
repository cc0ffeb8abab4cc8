from pathlib import Path

import pytest

from lycheeglade.checker import check_files

CASES = Path(__file__).parent / "data" / "check"


@pytest.mark.parametrize("case", sorted(path.name for path in CASES.iterdir()))
def test_errors_are_those_expected(case, monkeypatch):
    monkeypatch.chdir(CASES / case)
    paths = sorted(path.name for path in Path().glob("*.ini"))
    errors = [str(error) for error in check_files(paths)]
    assert errors == Path("expected.txt").read_text().splitlines()


def test_folder_without_files_is_an_error(tmp_path):
    (error,) = check_files([tmp_path])
    assert str(error) == f"{tmp_path}: [-] file: the folder has no .ini file"


def test_unreadable_file_is_an_error(tmp_path):
    (error,) = check_files([tmp_path / "absent.ini"])
    assert str(error) == f"{tmp_path}/absent.ini: [-] file: No such file or directory"
