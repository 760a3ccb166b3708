//! File operations on the data folder.

use crate::error::{Error, ErrorKind, Result};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// A folder of files, with the operations that the store needs. Tests replace
/// [`DataDir`] with an implementation that fails.
pub trait Disk: Send + 'static {
    /// An open file.
    type File: Send;

    /// Lists the names of all files.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be read.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads the content of a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Opens a file for appending, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be opened or created.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Appends `bytes`. After a failure, a part of them may be in the file.
    ///
    /// # Errors
    ///
    /// Fails if the disk is full or read-only.
    fn append(&self, file: &mut Self::File, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to `len` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the disk is read-only.
    fn truncate(&self, file: &mut Self::File, len: u64) -> io::Result<()>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    ///
    /// Fails on a disk error; the content may or may not be on disk then.
    fn sync(&self, file: &mut Self::File) -> io::Result<()>;

    /// Renames a file and replaces any file with the new name.
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

    /// Makes created, renamed and removed file names durable.
    ///
    /// # Errors
    ///
    /// Fails on a disk error.
    fn sync_dir(&self) -> io::Result<()>;
}

/// A folder of the file system, locked against other processes until its last clone
/// is dropped.
#[derive(Debug, Clone)]
pub struct DataDir {
    path: PathBuf,
    _lock: Arc<File>,
}

impl DataDir {
    /// Creates the folder if it does not exist, makes its name durable, and locks it.
    ///
    /// # Errors
    ///
    /// Fails if another process has locked the folder, or if it cannot be created.
    pub fn new(path: &Path) -> Result<Self> {
        const LOCK_FILE: &str = "lock";
        create_durable_dir(path).map_err(Error::io("make", &path.to_string_lossy()))?;
        let mut options = OpenOptions::new();
        let lock = options.write(true).create(true).truncate(false);
        let lock = lock.open(path.join(LOCK_FILE));
        let lock = lock.map_err(Error::io("open", LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => Ok(DataDir {
                path: path.to_owned(),
                _lock: Arc::new(lock),
            }),
            Err(TryLockError::WouldBlock) => Err(ErrorKind::Locked.into()),
            Err(TryLockError::Error(e)) => Err(Error::io("lock", LOCK_FILE)(e)),
        }
    }
}

/// Creates a folder and its missing parents, and syncs the names of those that it
/// creates. The name of `path` itself is synced in any case, because the process that
/// created it may have been killed before the sync.
fn create_durable_dir(path: &Path) -> io::Result<()> {
    // The parent of a relative path of one component is the empty path.
    let parent = path.parent().map(|parent| match parent.as_os_str() {
        name if name.is_empty() => Path::new("."),
        _ => parent,
    });
    let Some(parent) = parent else {
        return Ok(());
    };
    let existed = path.is_dir();
    if !existed {
        if !parent.is_dir() {
            create_durable_dir(parent)?;
        }
        fs::create_dir_all(path)?;
    }
    match File::open(parent).and_then(|parent| parent.sync_all()) {
        // The folder was prepared by someone who may write to its parent.
        Err(e) if existed && e.kind() == io::ErrorKind::PermissionDenied => Ok(()),
        synced => synced,
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
