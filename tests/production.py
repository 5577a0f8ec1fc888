"""The former location of `harness.older_versions`, for tests that import it by this name."""

from harness.older_versions import misread as misread
