//! The data folder: torn tails, damage, failed syncs, lost files.

use std::fs;
use std::path::Path;

use bitternlead::control::log_file;
use bitternlead::control::store::{Store, StoreError};
use bitternlead::wire::{Entry, HardState};
use tempfile::TempDir;

fn entry(index: u64) -> Entry {
    Entry { index, term: 1, command: None }
}

fn write_batches(folder: &Path, batches: u64) -> Vec<u64> {
    let mut store = Store::open(folder).unwrap().store;
    let mut ends = Vec::new();
    for index in 1..=batches {
        store.put_entry(entry(index));
        store.put_hard(HardState { term: index, voted_for: 9 });
        store.sync().unwrap();
        ends.push(fs::metadata(folder.join("log")).unwrap().len());
    }
    ends
}

#[test]
fn a_tail_torn_at_any_byte_loses_only_the_last_batch() {
    let folder = TempDir::new().unwrap();
    let ends = write_batches(folder.path(), 4);
    let whole = fs::read(folder.path().join("log")).unwrap();
    for len in 0..=whole.len() {
        fs::write(folder.path().join("log"), &whole[..len]).unwrap();
        let opened = Store::open(folder.path()).unwrap();
        let batches = ends.iter().filter(|end| **end <= len as u64).count();
        assert_eq!(opened.found.entries.len(), batches, "cut at {len}");
        assert_eq!(opened.found.hard_state.term, batches as u64);
    }
}

#[test]
fn damage_at_any_byte_before_the_last_batch_is_refused_with_its_place() {
    let folder = TempDir::new().unwrap();
    let ends = write_batches(folder.path(), 3);
    let path = folder.path().join("log");
    let whole = fs::read(&path).unwrap();
    for at in 0..ends[1] as usize {
        let mut damaged = whole.clone();
        damaged[at] ^= 0x40;
        fs::write(&path, &damaged).unwrap();
        let start = ends.iter().filter(|e| **e <= at as u64).max().copied().unwrap_or(0);
        match Store::open(folder.path()) {
            Err(StoreError::Damaged { offset, .. }) => assert_eq!(offset, start),
            other => panic!("byte {at}: {:?}", other.map(|o| o.found.entries.len())),
        }
    }
}

#[test]
fn a_folder_without_its_identity_or_log_is_refused() {
    for lost in ["identity", "log"] {
        let folder = TempDir::new().unwrap();
        write_batches(folder.path(), 1);
        fs::remove_file(folder.path().join(lost)).unwrap();
        assert!(Store::open(folder.path()).is_err(), "{lost} is missing");
    }
}

#[test]
fn a_folder_in_use_is_refused() {
    let folder = TempDir::new().unwrap();
    let _first = Store::open(folder.path()).unwrap();
    assert!(matches!(Store::open(folder.path()), Err(StoreError::Locked { .. })));
}

#[test]
fn compaction_survives_a_crash_between_its_two_files() {
    let folder = TempDir::new().unwrap();
    write_batches(folder.path(), 4);
    let log = fs::read(folder.path().join("log")).unwrap();
    let mut store = Store::open(folder.path()).unwrap().store;
    let mut state = bitternlead::control::state::ControlState::default();
    for index in 1..=3 {
        state.apply(entry(index));
    }
    store.compact(&state.encode(), HardState { term: 4, voted_for: 9 }, vec![entry(4)]).unwrap();
    drop(store);
    for old_log in [false, true] {
        if old_log {
            fs::write(folder.path().join("log"), &log).unwrap();
        }
        let found = Store::open(folder.path()).unwrap().found;
        let indexes: Vec<u64> = found.entries.iter().map(|e| e.index).collect();
        assert_eq!(indexes, [4]);
        assert_eq!(found.hard_state.term, 4);
        assert!(found.snapshot.is_some());
    }
}

#[test]
fn a_damaged_snapshot_is_refused() {
    let folder = TempDir::new().unwrap();
    let mut store = Store::open(folder.path()).unwrap().store;
    store.compact(b"some state", HardState::default(), Vec::new()).unwrap();
    drop(store);
    let path = folder.path().join("snapshot");
    let whole = fs::read(&path).unwrap();
    for at in 0..whole.len() {
        let mut damaged = whole.clone();
        damaged[at] ^= 1;
        fs::write(&path, &damaged).unwrap();
        assert!(Store::open(folder.path()).is_err(), "byte {at}");
    }
}

#[test]
fn no_bytes_crash_the_reader() {
    let mut data = log_file::frame(b"not records");
    for len in 0..data.len() {
        let _ = log_file::read(&data[..len]);
    }
    data.extend_from_slice(&[0xff; 40]);
    let _ = log_file::read(&data);
}
