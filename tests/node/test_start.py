"""Start of a node: it uses the bytecode that the build compiled and writes nothing next to the sources."""

import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


def test_a_start_uses_the_bytecode_that_the_build_compiled(tmp_path: Path):
    # A deployed node can't write next to its sources, so without this bytecode every start compiled the sources again.
    shutil.copytree(ROOT / "hookwall", tmp_path / "hookwall", ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(ROOT / "run.py", tmp_path)
    (tmp_path / "target" / "deps").mkdir(parents=True)
    (tmp_path / "requirements.txt").touch()
    os.utime(tmp_path / "requirements.txt", (0, 0))
    build = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["build"]
    subprocess.run(["sh", "-c", build], cwd=tmp_path, check=True)
    run = [sys.executable, "-v", "run.py", "--config", "missing"]
    completed = subprocess.run(
        run, cwd=tmp_path, capture_output=True, text=True, env={**os.environ, "LOG_LEVEL": "error"}
    )
    assert completed.returncode == 2 and "missing" in completed.stderr
    assert f"# code object from '{tmp_path}/target/pycache{tmp_path}/hookwall/cli." in completed.stderr
    assert not list((tmp_path / "hookwall").glob("__pycache__"))
