"""HTTP/1.1 on the path of a call: twisted protocols fed to httptools."""
