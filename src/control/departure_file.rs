//! File of the endpoints that have said that they leave, synced before that is acknowledged.
//!
//! All replicas may end at one moment, and with them all that they know. What the file of all endpoints
//! says is older by then, and an endpoint does not repeat that it is gone. Departures that arrive while others are
//! written share the next sync.

use std::collections::VecDeque;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use prost::Message;
use slog::Logger;
use tokio::sync::mpsc;
use tokio::task::spawn_blocking;

use super::acknowledgements::AckSender;
use super::log_file;
use super::store::replace_file;
use crate::event;
use crate::faults;
use crate::wire::{Announcement, KnownEndpoints};

const FILE: &str = "departures";

/// Departures that are kept, the newest ones: those of a fleet whose endpoints leave together.
const MAX_KEPT: usize = 1_024;

/// Size in bytes from which on the file is written anew with what is kept.
const MAX_BYTES: u64 = 512 * 1024;

/// A departure that is to be written, with what acknowledges it then.
pub type QueuedDeparture = (Announcement, AckSender);

/// The newest departures, in memory and in a file.
#[derive(Debug)]
pub struct DepartureFile {
    folder: PathBuf,
    kept: VecDeque<Announcement>,
    /// The file, if it is known to hold all that is kept.
    file: Option<File>,
}

impl DepartureFile {
    /// Reads the departures of the last run. A frame that is torn or damaged, and what follows it, was
    /// not acknowledged or can't be read any more.
    ///
    /// ```
    /// use bitternlead::control::departure_file::DepartureFile;
    /// use bitternlead::wire::Announcement;
    ///
    /// let folder = tempfile::tempdir().unwrap();
    /// let gone = Announcement { id: "e-1".into(), ..Announcement::default() };
    /// DepartureFile::open(folder.path()).append(vec![gone.clone()]).unwrap();
    /// assert_eq!(DepartureFile::open(folder.path()).departures(), [gone]);
    /// ```
    pub fn open(folder: &Path) -> Self {
        let data = std::fs::read(folder.join(FILE)).unwrap_or_default();
        let known = log_file::complete_frames(&data).map_while(|f| KnownEndpoints::decode(f).ok());
        let mut opened = Self { folder: folder.to_owned(), kept: VecDeque::new(), file: None };
        known.for_each(|frame| opened.keep(frame.announcements));
        opened
    }

    /// The departures that are kept, the newest last.
    pub fn departures(&self) -> Vec<Announcement> {
        self.kept.iter().cloned().collect()
    }

    /// Writes and syncs departures; those that the file holds already cost nothing.
    ///
    /// # Errors
    /// The departures may be lost. The next call writes all that is kept anew.
    pub fn append(&mut self, mut departures: Vec<Announcement>) -> io::Result<()> {
        if self.file.is_some() {
            departures.retain(|departure| !self.kept.contains(departure));
        }
        if departures.is_empty() && self.file.is_some() {
            return Ok(());
        }
        let file = self.file.take().filter(|f| f.metadata().is_ok_and(|m| m.len() < MAX_BYTES));
        self.keep(departures.clone());
        if faults::inject("departures.write").is_some() {
            return Err(io::Error::other("departures cannot be written"));
        }
        let written = match file {
            Some(file) => append_frame(file, departures)?,
            None => self.write_anew()?,
        };
        self.file = Some(written);
        Ok(())
    }

    fn keep(&mut self, departures: Vec<Announcement>) {
        for departure in departures {
            self.kept.retain(|known| known.id != departure.id);
            self.kept.push_back(departure);
        }
        let surplus = self.kept.len().saturating_sub(MAX_KEPT);
        self.kept.drain(..surplus);
    }

    fn write_anew(&self) -> io::Result<File> {
        replace_file(&self.folder, FILE, &frame(self.departures()))?;
        OpenOptions::new().append(true).open(self.folder.join(FILE))
    }
}

fn append_frame(mut file: File, departures: Vec<Announcement>) -> io::Result<File> {
    file.write_all(&frame(departures))?;
    file.sync_data()?;
    Ok(file)
}

fn frame(announcements: Vec<Announcement>) -> Vec<u8> {
    log_file::frame(&KnownEndpoints { announcements }.encode_to_vec())
}

fn acknowledge(ack: &AckSender) {
    // The call may have ended already.
    let _ = ack.send(());
}

/// Writes departures and acknowledges them, until all senders are dropped. One that can't be written is not
/// acknowledged: its endpoint, or the replica that relays it, sends it again.
pub async fn keep_departures(
    mut file: DepartureFile,
    mut rx: mpsc::UnboundedReceiver<QueuedDeparture>,
    log: Logger,
) {
    while let Some(first) = rx.recv().await {
        let queued = std::iter::from_fn(|| rx.try_recv().ok());
        let (departures, acks): (Vec<Announcement>, Vec<AckSender>) =
            std::iter::once(first).chain(queued).unzip();
        let writing = spawn_blocking(move || {
            let written = file.append(departures);
            (file, written)
        });
        let Ok((returned, written)) = writing.await else { return };
        file = returned;
        match written {
            Ok(()) => acks.iter().for_each(acknowledge),
            Err(e) => event!(log, EndpointFileUnusable, "reason" => e.to_string()),
        }
    }
}
