//! The operations on the data folder.

use crate::error::{Error, ErrorKind, Result};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A folder of files that are only appended to, renamed and removed. Tests put
/// a failing one in place of [`DataDir`].
pub trait Disk: Send + 'static {
    /// An open file.
    type File: Send;

    /// The names of all files.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be read.
    fn list(&self) -> io::Result<Vec<String>>;

    /// The content of a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Opens a file to append to it, and makes it if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be opened or made.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Appends all the bytes. A failure may leave a part of them.
    ///
    /// # Errors
    ///
    /// Fails if the disk is full or read-only.
    fn append(&self, file: &mut Self::File, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file to a length.
    ///
    /// # Errors
    ///
    /// Fails if the disk is read-only.
    fn truncate(&self, file: &mut Self::File, len: u64) -> io::Result<()>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    ///
    /// Fails if the disk does; the content may then be on disk or not.
    fn sync(&self, file: &mut Self::File) -> io::Result<()>;

    /// Gives a file a new name, in place of any file of that name.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be written.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be written.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes the names of the files durable.
    ///
    /// # Errors
    ///
    /// Fails if the disk does.
    fn sync_dir(&self) -> io::Result<()>;
}

/// A folder of the file system, locked against other processes until dropped.
#[derive(Debug)]
pub struct DataDir {
    path: PathBuf,
    _lock: File,
}

impl DataDir {
    /// Makes the folder if there is none, and locks it.
    ///
    /// # Errors
    ///
    /// Fails if another process has locked the folder, or if it cannot be made.
    pub fn new(path: &Path) -> Result<Self> {
        const LOCK: &str = "lock";
        fs::create_dir_all(path).map_err(Error::io("make", &path.to_string_lossy()))?;
        let mut options = OpenOptions::new();
        let lock = options.write(true).create(true).truncate(false);
        let lock = lock.open(path.join(LOCK));
        let lock = lock.map_err(Error::io("open", LOCK))?;
        match lock.try_lock() {
            Ok(()) => Ok(DataDir {
                path: path.to_owned(),
                _lock: lock,
            }),
            Err(TryLockError::WouldBlock) => Err(ErrorKind::Locked.into()),
            Err(TryLockError::Error(e)) => Err(Error::io("lock", LOCK)(e)),
        }
    }
}

impl Disk for DataDir {
    type File = File;

    fn list(&self) -> io::Result<Vec<String>> {
        let entries = fs::read_dir(&self.path)?;
        entries
            .map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()))
            .collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn open(&self, name: &str) -> io::Result<File> {
        let mut options = OpenOptions::new();
        options.append(true).create(true).open(self.path.join(name))
    }

    fn append(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    fn truncate(&self, file: &mut File, len: u64) -> io::Result<()> {
        file.set_len(len)
    }

    fn sync(&self, file: &mut File) -> io::Result<()> {
        file.sync_all()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync_dir(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
