"""Tests of the settings of the allocator."""

import pathlib
import subprocess
import sys
import unittest

# Frees a large block, then holds and frees smaller ones beside small ones that stay.
SCRIPT = """
import re
from monsoonline.adapters.allocator import return_large_blocks
return_large_blocks()
bytes(8_000_000)
blocks, kept = [], []
for _ in range(100):
    blocks.append(b"x" * 300_000)
    kept.append(b"x" * 20_000)
blocks.clear()
status = open("/proc/self/status").read()
print(re.search(r"VmRSS:\\s*(\\d+)", status)[1])
"""
MAX_RESIDENT_KB = 24_000


class TestReturnLargeBlocks(unittest.TestCase):
    """Freed blocks don't stay with the process."""

    def test_freed_blocks_are_returned_to_the_system(self):
        source = pathlib.Path(__file__).resolve().parents[2] / "src"
        result = subprocess.run(
            [sys.executable, "-c", SCRIPT],
            env={"PYTHONPATH": str(source)},
            capture_output=True,
            text=True,
            check=True,
            timeout=60,
        )
        self.assertLess(int(result.stdout), MAX_RESIDENT_KB)


if __name__ == "__main__":
    unittest.main()
