//! The data directory of a control replica: identity, log and snapshot.
//!
//! Everything written is synced before the replica acts on it.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use bytes::Bytes;
use prost::Message;
use rand::RngExt;
use snafu::{ResultExt, Snafu};

use super::log_file::{self, LogDamage};
use crate::faults::{self, Fault};
use crate::ids::{Index, ReplicaId};
use crate::raft::PersistedState;
use crate::wire::{Entry, HardState, LogRecord, Snapshot, log_record};

/// Reason why a data directory cannot be used.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// A file operation failed.
    #[snafu(display("{}: {source}", path.display()))]
    Io {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Another process uses the directory.
    #[snafu(display("{}: in use by another process; stop it first", path.display()))]
    Locked {
        /// Path of the data directory.
        path: PathBuf,
    },
    /// A file is damaged in a way that no interrupted write explains.
    #[snafu(display(
        "{}: damaged at byte {offset}: {reason}; move the folder away and let this host \
         rejoin as a new replica",
        path.display()
    ))]
    Damaged {
        /// Path of the file.
        path: PathBuf,
        /// Offset of the damage in bytes.
        offset: u64,
        /// Kind of the damage.
        reason: String,
    },
}

/// First bytes of a snapshot file.
const SNAPSHOT_MAGIC: &Magic = b"BLSNAP01";

/// First bytes of a checked file, which name its content; the checksum of the content (4 bytes,
/// little-endian CRC-32C) and the content follow.
pub(super) type Magic = [u8; 8];

/// Result of opening a data directory.
#[derive(Debug)]
pub struct OpenedStore {
    /// The store, ready for writing.
    pub store: Store,
    /// State to start the replica with.
    pub persisted: PersistedState,
    /// Number of bytes of a torn tail that were removed from the log; 0 after a clean shutdown.
    pub torn_bytes: u64,
}

/// An open data directory, locked against other processes.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    id: ReplicaId,
    log: File,
    batch: Vec<u8>,
    _lock: File,
}

impl Store {
    /// Opens or creates a data directory.
    ///
    /// # Errors
    /// Fails if the directory is in use, cannot be written, or has lost synced data.
    pub fn open(folder: &Path) -> Result<OpenedStore, StoreError> {
        fs::create_dir_all(folder).context(IoSnafu { path: folder })?;
        let lock = lock_folder(folder)?;
        let id = match read_identity(folder)? {
            Some(id) => id,
            None => create_identity(folder)?,
        };
        let snapshot = read_checked(SNAPSHOT_MAGIC, &folder.join("snapshot"))?;
        let path = folder.join("log");
        let data = fs::read(&path).context(IoSnafu { path: &path })?;
        let content = log_file::read(&data).map_err(|d| damaged_error(&path, d))?;
        let torn_bytes = data.len() as u64 - content.valid_len;
        let log = OpenOptions::new().append(true).open(&path).context(IoSnafu { path: &path })?;
        if torn_bytes > 0 {
            log.set_len(content.valid_len).context(IoSnafu { path: &path })?;
            log.sync_all().context(IoSnafu { path: &path })?;
        }
        let persisted = replay(content.records, snapshot, &path)?;
        let store = Self { folder: folder.to_owned(), id, log, batch: Vec::new(), _lock: lock };
        Ok(OpenedStore { store, persisted, torn_bytes })
    }

    /// Identity of this replica. It is stored only in the data directory: a replica that lost its
    /// directory comes back as a new one, since it no longer knows its votes.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Adds the term and the vote to the batch.
    pub fn put_hard_state(&mut self, hard: HardState) {
        self.append_record(log_record::Kind::Hard(hard));
    }

    /// Adds a log entry to the batch.
    pub fn put_entry(&mut self, entry: Entry) {
        self.append_record(log_record::Kind::Entry(entry));
    }

    /// Adds the removal of all entries from index `from` on to the batch.
    pub fn put_truncate(&mut self, from: Index) {
        self.append_record(log_record::Kind::TruncateFrom(from));
    }

    fn append_record(&mut self, kind: log_record::Kind) {
        let record = LogRecord { kind: Some(kind) };
        record.encode_length_delimited(&mut self.batch).unwrap_or_default();
    }

    /// Writes and syncs the batch; nothing in it is durable before this returns.
    ///
    /// # Errors
    /// After an error the content of the directory is unknown: the caller has to exit, or to call
    /// [`Store::rewrite`] until it succeeds.
    pub fn sync(&mut self) -> io::Result<()> {
        if self.batch.is_empty() {
            return Ok(());
        }
        let frame = log_file::frame(&self.batch);
        self.batch.clear();
        if faults::inject("store.write") == Some(Fault::ShortWrite) {
            self.log.write_all(&frame[..frame.len() / 2])?;
            return Err(io::Error::other("short write"));
        }
        self.log.write_all(&frame)?;
        if faults::inject("store.sync").is_some() {
            return Err(io::Error::other("sync failed"));
        }
        self.log.sync_data()?;
        faults::inject("store.synced");
        Ok(())
    }

    /// Replaces the snapshot, then the log by the entries that follow it.
    ///
    /// A crash between the two leaves a log with entries that the new snapshot covers; opening the
    /// directory skips them.
    ///
    /// # Errors
    /// After an error the directory stays readable, but the caller has to exit, or to call
    /// [`Store::rewrite`] until it succeeds.
    pub fn compact(
        &mut self,
        snapshot: &[u8],
        hard: HardState,
        rest: Vec<Entry>,
    ) -> io::Result<()> {
        self.sync()?;
        self.replace("snapshot", &frame_checked(SNAPSHOT_MAGIC, snapshot))?;
        faults::inject("store.compact.between");
        self.replace_log(hard, rest)
    }

    /// Rewrites the whole content after a failed write, whose effect is unknown.
    ///
    /// # Errors
    /// Fails if the directory still cannot be written; the call can be repeated.
    pub fn rewrite(
        &mut self,
        snapshot: Option<&[u8]>,
        hard: HardState,
        entries: Vec<Entry>,
    ) -> io::Result<()> {
        self.batch.clear();
        if let Some(snapshot) = snapshot {
            self.replace("snapshot", &frame_checked(SNAPSHOT_MAGIC, snapshot))?;
        }
        self.replace_log(hard, entries)
    }

    fn replace_log(&mut self, hard: HardState, entries: Vec<Entry>) -> io::Result<()> {
        self.put_hard_state(hard);
        for entry in entries {
            self.put_entry(entry);
        }
        let frame = log_file::frame(&self.batch);
        self.batch.clear();
        self.replace("log", &frame)?;
        self.log = OpenOptions::new().append(true).open(self.folder.join("log"))?;
        Ok(())
    }

    fn replace(&self, name: &str, data: &[u8]) -> io::Result<()> {
        replace_file(&self.folder, name, data)
    }
}

/// Writes a file beside the old one, syncs it, renames it over the old one and syncs the directory,
/// so that a crash leaves either the old or the new content.
pub(super) fn replace_file(folder: &Path, name: &str, data: &[u8]) -> io::Result<()> {
    let new_path = folder.join(format!("{name}.new"));
    let mut f = File::create(&new_path)?;
    f.write_all(data)?;
    f.sync_all()?;
    if faults::inject("store.replace").is_some() {
        return Err(io::Error::other("cannot replace a file"));
    }
    fs::rename(&new_path, folder.join(name))?;
    File::open(folder)?.sync_all()
}

fn damaged_error(path: &Path, damage: LogDamage) -> StoreError {
    StoreError::Damaged { path: path.to_owned(), offset: damage.offset, reason: damage.reason }
}

fn lock_folder(folder: &Path) -> Result<File, StoreError> {
    let path = folder.join("lock");
    let lock = File::create(&path).context(IoSnafu { path: &path })?;
    lock.try_lock().map_err(|_| StoreError::Locked { path: folder.to_owned() })?;
    Ok(lock)
}

fn read_identity(folder: &Path) -> Result<Option<ReplicaId>, StoreError> {
    let path = folder.join("identity");
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(e) if e.kind() == io::ErrorKind::NotFound => {
            return reject_orphaned_files(folder).map(|()| None);
        }
        Err(source) => return Err(StoreError::Io { path, source }),
    };
    let id = u64::from_str_radix(text.trim(), 16).ok().filter(|id| *id != 0);
    let reason = "not a replica identity in hexadecimal".to_owned();
    id.map(Some).ok_or(StoreError::Damaged { path, offset: 0, reason })
}

/// Rejects a directory with a log or snapshot but no identity: it has lost part of its files.
fn reject_orphaned_files(folder: &Path) -> Result<(), StoreError> {
    for name in ["log", "snapshot"] {
        let path = folder.join(name);
        let len = fs::metadata(&path).map_or(0, |m| m.len());
        if len > 0 {
            let reason = "the identity beside it is missing".to_owned();
            return Err(StoreError::Damaged { path, offset: 0, reason });
        }
    }
    Ok(())
}

/// Creates the log before the identity, so that an identity without a log proves a loss of data.
fn create_identity(folder: &Path) -> Result<ReplicaId, StoreError> {
    let id = rand::rng().random_range(1..=u64::MAX);
    replace_file(folder, "log", b"").context(IoSnafu { path: folder.join("log") })?;
    let text = format!("{id:016x}\n");
    replace_file(folder, "identity", text.as_bytes())
        .context(IoSnafu { path: folder.join("identity") })?;
    Ok(id)
}

/// Puts the magic and the checksum before the content of a file.
pub(super) fn frame_checked(magic: &Magic, data: &[u8]) -> Vec<u8> {
    let mut framed = Vec::with_capacity(data.len() + 12);
    framed.extend_from_slice(magic);
    framed.extend_from_slice(&crc32c::crc32c(data).to_le_bytes());
    framed.extend_from_slice(data);
    framed
}

/// Reads the content of a checked file; `None` if there is no such file.
pub(super) fn read_checked(magic: &Magic, path: &Path) -> Result<Option<Bytes>, StoreError> {
    let data = match fs::read(path) {
        Ok(data) => data,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(source) => return Err(StoreError::Io { path: path.to_owned(), source }),
    };
    let corrupt = |reason: &str| StoreError::Damaged {
        path: path.to_owned(),
        offset: 0,
        reason: reason.to_owned(),
    };
    let Some(rest) = data.strip_prefix(magic) else {
        return Err(corrupt("not the kind of file that its name says"));
    };
    let Some((crc, body)) = rest.split_first_chunk::<4>() else {
        return Err(corrupt("file too short for a checksum"));
    };
    if u32::from_le_bytes(*crc) != crc32c::crc32c(body) {
        return Err(corrupt("checksum does not match"));
    }
    Ok(Some(Bytes::copy_from_slice(body)))
}

trait TruncateFrom {
    fn truncate_from(&mut self, index: Index);
}

impl TruncateFrom for Vec<Entry> {
    fn truncate_from(&mut self, index: Index) {
        while self.last().is_some_and(|e| e.index >= index) {
            self.pop();
        }
    }
}

/// Replays the records of the log on top of the snapshot.
///
/// # Errors
/// Fails if the entries after the snapshot are not contiguous.
fn replay(
    records: Vec<LogRecord>,
    snapshot: Option<Bytes>,
    path: &Path,
) -> Result<PersistedState, StoreError> {
    let mut persisted = PersistedState { snapshot, ..PersistedState::default() };
    for record in records {
        match record.kind {
            Some(log_record::Kind::Hard(hard)) => persisted.hard_state = hard,
            Some(log_record::Kind::Entry(entry)) => {
                persisted.entries.truncate_from(entry.index);
                persisted.entries.push(entry);
            }
            Some(log_record::Kind::TruncateFrom(from)) => {
                persisted.entries.truncate_from(from);
            }
            None => {}
        }
    }
    let base = match &persisted.snapshot {
        Some(data) => Snapshot::decode(data.clone()).map_or(0, |s| s.last_index),
        None => 0,
    };
    persisted.entries.retain(|e| e.index > base);
    let gap = (base + 1..).zip(&persisted.entries).find(|(expected, e)| *expected != e.index);
    if let Some((expected, entry)) = gap {
        let reason = format!("entry {} found where entry {expected} was expected", entry.index);
        return Err(StoreError::Damaged { path: path.to_owned(), offset: 0, reason });
    }
    Ok(persisted)
}
