# Recipe of the packer for the program's folder; the stand-ins and the experiments stay out.
from PyInstaller.utils.hooks import collect_data_files, collect_submodules, copy_metadata

LIBRARIES_OF_DEVELOPMENT = [
    "godwitpath_bench",
    "godwitpath_standin",
    "_pytest",
    "black",
    "cffi",
    "cryptography",
    "hypothesis",
    "lark",
    "looptime",
    "mypy",
    "numpy",
    "openai",
    "pip",
    "psutil",
    "pytest",
    "ruff",
    "setuptools",
    "tkinter",
]

analysis = Analysis(
    ["../godwitpath/__main__.py"],
    pathex=[".."],
    datas=collect_data_files("godwitpath")
    + copy_metadata("opentelemetry-api")
    + copy_metadata("opentelemetry-sdk"),
    hiddenimports=collect_submodules("godwitpath")
    + ["opentelemetry.context.contextvars_context", "shellingham.posix"],
    excludes=LIBRARIES_OF_DEVELOPMENT,
)
archive = PYZ(analysis.pure)
program = EXE(archive, analysis.scripts, exclude_binaries=True, name="godwitpath", strip=True)
COLLECT(program, analysis.binaries, analysis.datas, name="godwitpath", strip=True)
