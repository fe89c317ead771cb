//! Records that are truncated, changed, from another balancer or from a wrong time are rejected with a reason and never
//! cause a panic.

use std::fs;
use std::io;
use std::path::Path;

use proptest::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::json;
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_snapshot::folder::SnapshotFolder;
use shorewharf_snapshot::record::{DecodeError, Encoder, Header, Line, VERSION, decode};
use shorewharf_snapshot::selection::{RejectionCause, SelectedSnapshot, select};
use shorewharf_snapshot::validation::{RestoreCriteria, ValidationError, newer_list, validate};
use shorewharf_snapshot::writer::SnapshotWriter;

/// The current time of the tests, in microseconds since 1970.
const NOW: u64 = 1_800_000_000_000_000;

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Entry {
    Server { id: u64, health: f64 },
    Mean(f64),
}

fn list(index: u64, servers: std::ops::Range<u64>) -> EndpointList {
    let one = |n| json!({"name": format!("s-{n}"), "address": "127.0.0.1:1", "status": "Ready"});
    let endpoints = servers.map(|n| serde_json::from_value(one(n)).expect("an endpoint")).collect();
    EndpointList { index, snapshot: true, endpoints }
}

fn header(taken_at: u64) -> Header {
    Header { version: VERSION, balancer: "n1".into(), worker: 0, worker_count: 1, taken_at, list_index: 7 }
}

fn entries() -> Vec<Entry> {
    vec![Entry::Mean(0.1), Entry::Server { id: u64::MAX, health: 0.05 }, Entry::Server { id: 1, health: 1.0 }]
}

fn lines() -> Vec<Line<Entry>> {
    let endpoints = list(7, 0..3).endpoints.into_iter().map(Line::Endpoint);
    endpoints.chain(entries().into_iter().map(Line::State)).collect()
}

fn written(header: &Header, lines: &[Line<impl Serialize>]) -> Vec<u8> {
    let mut encoder = Encoder::begin(Vec::new(), header).expect("memory");
    lines.iter().for_each(|line| encoder.write_line(line).expect("memory"));
    encoder.finish().expect("memory").0
}

fn criteria(list: &EndpointList) -> RestoreCriteria<'_> {
    RestoreCriteria { balancer: "n1", worker: 0, worker_count: 1, now: NOW, max_age: 600_000_000, list }
}

/// Writes a record to a folder in the way the program does.
fn write_record(folder: &SnapshotFolder, header: &Header) {
    let mut partial = folder.begin(header).expect("a file");
    lines().iter().for_each(|line| partial.write_line(line).expect("room"));
    folder.commit(partial).expect("room");
}

#[test]
fn a_record_is_decoded_as_written_and_unknown_lines_are_counted_and_skipped() {
    let record = decode::<Entry>(&written(&header(NOW), &lines())).expect("good");
    assert_eq!((record.header, record.entries, record.unknown_lines), (header(NOW), entries(), 0));
    assert_eq!(record.list, list(7, 0..3));
    let newer = [json!({"mean": 0.5}), json!({"tide": 3}), json!({"mean": "x"})].map(Line::State);
    let record = decode::<Entry>(&written(&header(NOW), &newer)).expect("good");
    assert_eq!((record.entries, record.unknown_lines), (vec![Entry::Mean(0.5)], 2));
}

#[test]
fn every_changed_byte_and_every_truncation_is_rejected_with_a_line_number() {
    let whole = written(&header(NOW), &lines());
    for at in 0..whole.len() {
        for change in [0x01, 0x20, 0x80, 0xff] {
            let mut bad = whole.clone();
            bad[at] ^= change;
            let error = decode::<Entry>(&bad).expect_err("a changed byte");
            assert!(error.to_string().starts_with("line "), "byte {at}: {error}");
        }
        let error = decode::<Entry>(&whole[..at]).expect_err("a truncated record");
        assert!(error.to_string().starts_with("line "), "truncated at {at}: {error}");
    }
    for more in [&b"{}\n"[..], b"x", b"\n", b"end 3 0\n"] {
        assert!(decode::<Entry>(&[&whole, more].concat()).is_err(), "{more:?} after the end line");
    }
}

#[test]
fn another_format_version_is_named_in_the_error() {
    let later = written(&Header { version: 9, ..header(NOW) }, &lines());
    assert!(matches!(decode::<Entry>(&later), Err(DecodeError::UnsupportedVersion(9))));
    assert_eq!(
        decode::<Entry>(&later).expect_err("9").to_string(),
        "line 1: snapshot has format version 9; this program reads version 1"
    );
}

#[test]
fn records_of_another_balancer_worker_fleet_or_time_are_rejected_with_a_reason() {
    let list = list(3, 0..3);
    let criteria = criteria(&list);
    assert_eq!(validate(&header(NOW - 9), &list, &criteria), Ok(9));
    assert_eq!(validate(&header(NOW + 4_000_000), &list, &criteria), Ok(0), "within the allowed clock skew");
    let error = |header: Header| validate(&header, &list, &criteria).expect_err("rejected").to_string();
    assert_eq!(error(header(NOW + 60_000_000)), "the snapshot's time is 60 s in the future");
    assert_eq!(error(header(NOW - 601_000_000)), "the snapshot is 601 s old; the maximum age is 600 s");
    assert_eq!(
        error(Header { balancer: "n2".into(), ..header(NOW) }),
        "the snapshot is of balancer 'n2', expected 'n1'"
    );
    assert_eq!(
        error(Header { worker_count: 4, ..header(NOW) }),
        "the snapshot is of worker 0 of 4, expected worker 0 of 1"
    );
    let others = self::list(3, 2..9);
    let other = RestoreCriteria { list: &others, ..criteria };
    assert_eq!(
        validate(&header(NOW), &list, &other),
        Err(ValidationError::OtherFleet { found: 1, listed: 7 })
    );
}

#[test]
fn the_newer_endpoint_list_is_chosen_unless_it_is_empty() {
    let (own, newer, empty) = (list(5, 0..3), list(7, 0..2), list(9, 0..0));
    assert_eq!(newer_list(&own, &newer).index, 7);
    assert_eq!(newer_list(&newer, &own).index, 7);
    assert_eq!(newer_list(&own, &empty).index, 5, "an empty list is not used");
}

#[test]
fn damaged_generations_are_reported_and_the_latest_intact_one_is_selected() {
    let temporary = tempfile::tempdir().expect("a folder");
    let folder = SnapshotFolder::open(&temporary.path().join("deep/er"), 0, 3).expect("a folder");
    assert!(select::<Entry>(&folder, &criteria(&list(1, 0..3))).expect("empty").selected.is_none());
    for age in [5, 4, 3, 2, 1] {
        write_record(&folder, &header(NOW - age * 1_000_000));
    }
    let records = folder.records().expect("a folder");
    assert_eq!(records.len(), 3, "three generations are kept");
    // A power failure has truncated the latest record, and the one before has a bad block.
    let whole = fs::read(&records[0]).expect("a file");
    fs::write(&records[0], &whole[..whole.len() / 2]).expect("a file");
    let mut bad = fs::read(&records[1]).expect("a file");
    bad[40] ^= 1;
    fs::write(&records[1], bad).expect("a file");
    // The temporary file of a process that was killed while it wrote a record.
    fs::write(temporary.path().join("deep/er/worker-0.77.part"), b"{\"snapshot\":1").expect("a file");
    let known = list(1, 0..3);
    let selection = select::<Entry>(&folder, &criteria(&known)).expect("a folder");
    let SelectedSnapshot { path, record, age } = selection.selected.expect("the third");
    assert_eq!((path, record.entries, age), (records[2].clone(), entries(), 3_000_000));
    let rejected: Vec<_> = selection
        .rejected
        .iter()
        .map(|rejected| (rejected.path.clone(), rejected.cause.to_string()))
        .collect();
    assert_eq!((rejected.len(), &rejected[0].0, &rejected[1].0), (2, &records[0], &records[1]));
    assert!(
        rejected[0].1.contains("truncated") && rejected[1].1.contains("checksum mismatch"),
        "{rejected:?}"
    );
    assert!(matches!(selection.rejected[0].cause, RejectionCause::Unreadable(_)));
}

#[test]
fn a_full_disk_is_an_error_and_keeps_earlier_generations() {
    let full = fs::OpenOptions::new().write(true).open("/dev/full").expect("Linux");
    let begun = Encoder::begin(io::BufWriter::new(full), &header(NOW));
    let error = begun.and_then(|mut encoder| {
        lines().iter().try_for_each(|line| encoder.write_line(line))?;
        encoder.finish().map(drop)
    });
    assert_eq!(error.expect_err("full").kind(), io::ErrorKind::StorageFull);
    // In a folder, the temporary file is on a full device: earlier generations stay and the temporary file is removed.
    let temporary = tempfile::tempdir().expect("a folder");
    let folder = SnapshotFolder::open(temporary.path(), 0, 2).expect("a folder");
    write_record(&folder, &header(NOW - 1));
    let part = temporary.path().join(format!("worker-0.{}.part", std::process::id()));
    std::os::unix::fs::symlink("/dev/full", &part).expect("a link");
    let mut writer = SnapshotWriter::start(folder.clone()).expect("a thread");
    writer.begin(header(NOW));
    writer.write(lines());
    writer.finish();
    assert_eq!(wait_for_result(&mut writer).expect_err("full").kind(), io::ErrorKind::StorageFull);
    assert_eq!((folder.records().expect("a folder").len(), part.exists()), (1, false));
    // Once there is space again, the next record is written.
    writer.begin(header(NOW + 1));
    writer.write(lines());
    writer.finish();
    assert_eq!(wait_for_result(&mut writer).expect("room"), 6);
    assert_eq!(folder.records().expect("a folder").len(), 2);
}

fn wait_for_result(writer: &mut SnapshotWriter<Entry>) -> io::Result<u64> {
    let start = std::time::Instant::now();
    loop {
        if let Some(result) = writer.take_result() {
            assert!(writer.is_idle());
            return result;
        }
        assert!(start.elapsed().as_secs() < 60, "no result within 60 s");
        std::thread::yield_now();
    }
}

#[test]
fn a_dropped_writer_completes_finished_records_and_discards_unfinished_ones() {
    let temporary = tempfile::tempdir().expect("a folder");
    let folder = SnapshotFolder::open(temporary.path(), 3, 2).expect("a folder");
    let mut writer = SnapshotWriter::start(folder.clone()).expect("a thread");
    writer.begin(header(NOW));
    writer.write(lines());
    writer.finish();
    drop(writer);
    let mut writer = SnapshotWriter::<Entry>::start(folder.clone()).expect("a thread");
    writer.begin(header(NOW + 1));
    drop(writer);
    let names = |path: &Path| fs::read_dir(path).expect("a folder").count();
    assert_eq!((folder.records().expect("a folder").len(), names(temporary.path())), (1, 1));
    assert_eq!(
        SnapshotFolder::open(temporary.path(), 0, 2).and_then(|f| f.records()).expect("a folder").len(),
        0
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_are_rejected_unless_they_equal_the_written_record(
        cuts in prop::collection::vec((0usize..400, 0usize..400, any::<bool>()), 1..4),
        noise in prop::collection::vec(any::<u8>(), 0..40),
    ) {
        let whole = written(&header(NOW), &lines());
        // Pieces of a valid record, reordered and repeated, with noise between them.
        let mut bytes = Vec::new();
        for (from, length, noisy) in cuts {
            let from = from.min(whole.len());
            let to = (from + length).min(whole.len());
            bytes.extend_from_slice(&whole[from..to]);
            if noisy { bytes.extend_from_slice(&noise); }
        }
        if let Ok(record) = decode::<Entry>(&bytes) {
            prop_assert_eq!(bytes, whole);
            prop_assert_eq!(record.entries, entries());
        }
    }
}
