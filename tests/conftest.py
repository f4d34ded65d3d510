"""Profiles of the property tests: the usual one, and a long one run by hand.

scripts/test --hypothesis-profile=long tests/core
"""

from __future__ import annotations

import hypothesis

LONG_EXAMPLES = 10_000

hypothesis.settings.register_profile("usual", deadline=None, derandomize=True)
hypothesis.settings.register_profile("long", deadline=None, max_examples=LONG_EXAMPLES)
hypothesis.settings.load_profile("usual")
