"""Small fakes of backend servers and clients under a virtual clock."""
