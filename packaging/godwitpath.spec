# PyInstaller spec of the program directory, without stand-ins, benchmarks and development tools.
from PyInstaller.utils.hooks import collect_data_files, collect_submodules, copy_metadata

EXCLUDED_PACKAGES = [
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
    # Loaded by name at run time, which PyInstaller's import analysis does not see.
    + ["opentelemetry.context.contextvars_context", "shellingham.posix"],
    excludes=EXCLUDED_PACKAGES,
)
pure_modules = PYZ(analysis.pure)
program = EXE(pure_modules, analysis.scripts, exclude_binaries=True, name="godwitpath", strip=True)
COLLECT(program, analysis.binaries, analysis.datas, name="godwitpath", strip=True)
