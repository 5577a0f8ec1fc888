"""The old place of `harness.older_versions`."""

from harness.older_versions import misread as misread
