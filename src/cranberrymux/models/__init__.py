"""Value types shared by several layers of the package."""
