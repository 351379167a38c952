"""Crash-safe storage of a replica's log, vote and snapshot in a data folder."""

from cranberrymux.storage.check_report import CheckReport as CheckReport
from cranberrymux.storage.checking import check as check
from cranberrymux.storage.failure import StorageError as StorageError
from cranberrymux.storage.failure import StorageFailure as StorageFailure
from cranberrymux.storage.folder import Folder as Folder
from cranberrymux.storage.opening import open_folder as open_folder
