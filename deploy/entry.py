"""Starts one entry on the platform from a checkout."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "src"))

from monsoonline.platform.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
