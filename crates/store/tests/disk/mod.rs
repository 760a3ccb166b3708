//! A folder in memory that fails, is killed and loses power as the tests direct it.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use store::Disk;

/// Up to this many unsynced names, a power loss is tried with each subset of them.
const MAX_EXHAUSTIVE_NAMES: usize = 8;

/// Fault of the next operations.
#[derive(Default, Clone, Copy, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// Appends half of the bytes, then fails.
    Full,
    ReadOnly,
    /// Appends, then fails to sync.
    Sync,
}

#[derive(Default, Clone)]
struct Inode {
    data: Vec<u8>,
    /// The content at the last sync.
    synced: Vec<u8>,
}

type Names = BTreeMap<String, usize>;

#[derive(Default, Clone)]
struct DiskState {
    inodes: Vec<Inode>,
    names: Names,
    /// The names at the last sync of the folder.
    synced_names: Names,
    /// Changes of names since then. A power loss keeps or loses each of them.
    unsynced_names: Vec<(String, Option<usize>)>,
    fault: Fault,
    /// Changes until the process is killed; all later operations fail.
    changes_left: Option<usize>,
}

/// A folder in memory. Files are open by the number of their inode.
#[derive(Default, Clone)]
pub struct FakeDisk(Arc<Mutex<DiskState>>);

impl FakeDisk {
    fn new(state: DiskState) -> Self {
        FakeDisk(Arc::new(Mutex::new(state)))
    }

    fn state(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().unwrap()
    }

    pub fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
    }

    /// Kills the process after this many more changes.
    pub fn kill_after(&self, changes: usize) {
        self.state().changes_left = Some(changes);
    }

    pub fn is_killed(&self) -> bool {
        self.state().changes_left == Some(0)
    }

    /// The folder as the next process sees it after a kill without a power loss.
    pub fn restart(&self) -> FakeDisk {
        let state = self.state().clone();
        FakeDisk::new(DiskState {
            fault: Fault::None,
            changes_left: None,
            ..state
        })
    }

    /// The folder after a crash that keeps all names and `keep` bytes after the synced
    /// length of each file.
    pub fn crash(&self, keep: usize) -> FakeDisk {
        let crashed = self.restart();
        for inode in &mut crashed.state().inodes {
            inode.data.truncate(inode.synced.len() + keep);
            inode.synced.clone_from(&inode.data);
        }
        crashed
    }

    /// The folders that a power loss can leave: one for each subset of the unsynced
    /// names, or `max` sampled subsets if there are more, each with other torn bytes.
    pub fn power_losses(&self, seed: u64, max: usize) -> Vec<FakeDisk> {
        let state = self.state();
        let count = state.unsynced_names.len();
        let mut rng = StdRng::seed_from_u64(seed);
        let all = 1_usize << count.min(MAX_EXHAUSTIVE_NAMES);
        let sampled = count > MAX_EXHAUSTIVE_NAMES || all > max;
        (0..all.min(max) as u64)
            .map(|subset| {
                let kept = if sampled { rng.random() } else { subset };
                FakeDisk::new(state.after_power_loss(kept, &mut rng))
            })
            .collect()
    }

    pub fn names(&self) -> Vec<String> {
        self.state().names.keys().cloned().collect()
    }

    pub fn remove_where(&self, remove: impl Fn(&str) -> bool) {
        self.state().names.retain(|name, _| !remove(name));
    }

    /// Changes the content of the last file whose name has this prefix.
    pub fn edit(&self, prefix: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.state();
        let mut names = state.names.iter();
        let inode = *names.rfind(|(name, _)| name.starts_with(prefix)).unwrap().1;
        let inode = &mut state.inodes[inode];
        change(&mut inode.data);
        inode.synced.clone_from(&inode.data);
    }

    /// Carries out an operation that changes the folder.
    fn change<T>(&self, f: impl FnOnce(&mut DiskState) -> io::Result<T>) -> io::Result<T> {
        let mut state = self.state();
        if state.fault == Fault::ReadOnly {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        match &mut state.changes_left {
            Some(0) => return Err(io::Error::other("the process was killed")),
            Some(left) => *left -= 1,
            None => {}
        }
        f(&mut state)
    }
}

impl DiskState {
    fn set_name(&mut self, name: &str, inode: Option<usize>) {
        match inode {
            Some(inode) => self.names.insert(name.to_owned(), inode),
            None => self.names.remove(name),
        };
        self.unsynced_names.push((name.to_owned(), inode));
    }

    /// Bit `i` of `kept` says whether the change of name `i` is kept.
    fn after_power_loss(&self, kept: u64, rng: &mut StdRng) -> DiskState {
        let mut names = self.synced_names.clone();
        for (i, (name, inode)) in self.unsynced_names.iter().enumerate() {
            match inode {
                _ if kept >> i & 1 == 0 => None,
                Some(inode) => names.insert(name.clone(), *inode),
                None => names.remove(name),
            };
        }
        let inodes = self.inodes.iter().map(|inode| {
            let data = inode.after_power_loss(rng);
            let synced = data.clone();
            Inode { data, synced }
        });
        DiskState {
            inodes: inodes.collect(),
            synced_names: names.clone(),
            names,
            ..DiskState::default()
        }
    }
}

impl Inode {
    /// Keeps, loses or tears the unsynced bytes. Of a torn file, each block of 8 bytes
    /// has the new or the former content, or is zero where there is none.
    fn after_power_loss(&self, rng: &mut StdRng) -> Vec<u8> {
        if self.data == self.synced {
            return self.data.clone();
        }
        let (short, long) = (
            self.data.len().min(self.synced.len()),
            self.data.len().max(self.synced.len()),
        );
        match rng.random_range(0..4) {
            0 => self.data.clone(),
            1 => self.synced.clone(),
            _ => {
                let mut torn = Vec::new();
                let len = rng.random_range(short..=long);
                while torn.len() < len {
                    let from = if rng.random() {
                        &self.data
                    } else {
                        &self.synced
                    };
                    let end = len.min(torn.len() + 8);
                    let block = torn.len()..end;
                    torn.extend(block.map(|i| from.get(i).copied().unwrap_or(0)));
                }
                torn
            }
        }
    }
}

impl Disk for FakeDisk {
    type File = usize;

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state();
        let inode = state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(state.inodes[*inode].data.clone())
    }

    fn open(&self, name: &str) -> io::Result<usize> {
        if let Some(inode) = self.state().names.get(name) {
            return Ok(*inode);
        }
        self.change(|state| {
            state.inodes.push(Inode::default());
            let inode = state.inodes.len() - 1;
            state.set_name(name, Some(inode));
            Ok(inode)
        })
    }

    fn append(&self, file: &mut usize, bytes: &[u8]) -> io::Result<()> {
        self.change(|state| {
            let full = state.fault == Fault::Full;
            let len = if full { bytes.len() / 2 } else { bytes.len() };
            state.inodes[*file].data.extend_from_slice(&bytes[..len]);
            if full {
                Err(io::ErrorKind::StorageFull.into())
            } else {
                Ok(())
            }
        })
    }

    fn truncate(&self, file: &mut usize, len: u64) -> io::Result<()> {
        self.change(|state| {
            let len = usize::try_from(len).unwrap();
            state.inodes[*file].data.truncate(len);
            Ok(())
        })
    }

    fn sync(&self, file: &mut usize) -> io::Result<()> {
        self.change(|state| {
            if state.fault == Fault::Sync {
                return Err(io::Error::other("sync failed"));
            }
            let inode = &mut state.inodes[*file];
            inode.synced.clone_from(&inode.data);
            Ok(())
        })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.change(|state| {
            let inode = *state.names.get(from).ok_or(io::ErrorKind::NotFound)?;
            state.set_name(to, Some(inode));
            state.set_name(from, None);
            Ok(())
        })
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.change(|state| {
            if !state.names.contains_key(name) {
                return Err(io::ErrorKind::NotFound.into());
            }
            state.set_name(name, None);
            Ok(())
        })
    }

    fn sync_dir(&self) -> io::Result<()> {
        self.change(|state| {
            state.synced_names = state.names.clone();
            state.unsynced_names.clear();
            Ok(())
        })
    }
}
