//! Records that were cut, changed, written by others, or at a bad moment: never believed, never a panic, always a reason.

use std::fs;
use std::io;
use std::path::Path;

use proptest::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::json;
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_snapshot::choice::{Why, choose};
use shorewharf_snapshot::folder::Folder;
use shorewharf_snapshot::judge::{Aside, Asks, judge, later};
use shorewharf_snapshot::record::{Encoder, Head, Line, Unreadable, VERSION, decode};
use shorewharf_snapshot::writer::Writer;

const NOW: u64 = 1_800_000_000_000_000;

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Thing {
    Server { id: u64, health: f64 },
    Mean(f64),
}

fn list(index: u64, servers: std::ops::Range<u64>) -> EndpointList {
    let one = |n| json!({"name": format!("s-{n}"), "address": "127.0.0.1:1", "status": "Ready"});
    let endpoints = servers.map(|n| serde_json::from_value(one(n)).expect("an endpoint")).collect();
    EndpointList { index, snapshot: true, endpoints }
}

fn head(taken: u64) -> Head {
    Head { snapshot: VERSION, balancer: "n1".into(), worker: 0, workers: 1, taken, index: 7 }
}

fn things() -> Vec<Thing> {
    vec![Thing::Mean(0.1), Thing::Server { id: u64::MAX, health: 0.05 }, Thing::Server { id: 1, health: 1.0 }]
}

fn lines() -> Vec<Line<Thing>> {
    let endpoints = list(7, 0..3).endpoints.into_iter().map(Line::Endpoint);
    endpoints.chain(things().into_iter().map(Line::Known)).collect()
}

fn written(head: &Head, lines: &[Line<impl Serialize>]) -> Vec<u8> {
    let mut encoder = Encoder::begin(Vec::new(), head).expect("memory");
    lines.iter().for_each(|line| encoder.line(line).expect("memory"));
    encoder.end().expect("memory").0
}

fn asks(list: &EndpointList) -> Asks<'_> {
    Asks { balancer: "n1", worker: 0, workers: 1, now: NOW, oldest: 600_000_000, list }
}

/// Writes a record as the program does.
fn put(folder: &Folder, head: &Head) {
    let mut writing = folder.begin(head).expect("a file");
    lines().iter().for_each(|line| writing.line(line).expect("room"));
    folder.end(writing).expect("room");
}

#[test]
fn a_record_is_read_as_it_was_written_and_words_of_another_program_are_passed_over() {
    let record = decode::<Thing>(&written(&head(NOW), &lines())).expect("good");
    assert_eq!((record.head, record.known, record.unknown), (head(NOW), things(), 0));
    assert_eq!(record.list, list(7, 0..3));
    let newer = [json!({"mean": 0.5}), json!({"tide": 3}), json!({"mean": "x"})].map(Line::Known);
    let record = decode::<Thing>(&written(&head(NOW), &newer)).expect("good");
    assert_eq!((record.known, record.unknown), (vec![Thing::Mean(0.5)], 2));
}

#[test]
fn every_byte_changed_and_every_cut_is_found_and_told() {
    let whole = written(&head(NOW), &lines());
    for at in 0..whole.len() {
        for change in [0x01, 0x20, 0x80, 0xff] {
            let mut bad = whole.clone();
            bad[at] ^= change;
            let why = decode::<Thing>(&bad).expect_err("a changed byte");
            assert!(why.to_string().starts_with("line "), "byte {at}: {why}");
        }
        let why = decode::<Thing>(&whole[..at]).expect_err("a cut");
        assert!(why.to_string().starts_with("line "), "cut at {at}: {why}");
    }
    for more in [&b"{}\n"[..], b"x", b"\n", b"end 3 0\n"] {
        assert!(decode::<Thing>(&[&whole, more].concat()).is_err(), "{more:?} behind the end");
    }
}

#[test]
fn another_version_is_told_by_its_number_whatever_else_it_says() {
    let later = written(&Head { snapshot: 9, ..self::head(NOW) }, &lines());
    assert!(matches!(decode::<Thing>(&later), Err(Unreadable::Version(9))));
    assert_eq!(
        decode::<Thing>(&later).expect_err("9").to_string(),
        "line 1: version 9, and this program reads 1"
    );
}

#[test]
fn what_is_anothers_old_or_from_the_future_is_left_aside_with_a_reason() {
    let list = list(3, 0..3);
    let asks = asks(&list);
    assert_eq!(judge(&head(NOW - 9), &list, &asks), Ok(9));
    assert_eq!(judge(&head(NOW + 4_000_000), &list, &asks), Ok(0), "clocks differ a little");
    let said = |head: Head| judge(&head, &list, &asks).expect_err("left aside").to_string();
    assert_eq!(said(head(NOW + 60_000_000)), "it is 60 s from the future");
    assert_eq!(said(head(NOW - 601_000_000)), "it is 601 s old, and 600 s at most are believed");
    assert_eq!(said(Head { balancer: "n2".into(), ..head(NOW) }), "it is of balancer 'n2'");
    assert_eq!(said(Head { workers: 4, ..head(NOW) }), "it is of worker 0 of 4");
    let others = self::list(3, 2..9);
    let other = Asks { list: &others, ..asks };
    assert_eq!(judge(&head(NOW), &list, &other), Err(Aside::Fleet { here: 1, known: 7 }));
}

#[test]
fn the_later_list_is_the_one_to_start_with() {
    let (own, newer, empty) = (list(5, 0..3), list(7, 0..2), list(9, 0..0));
    assert_eq!(later(&own, &newer).index, 7);
    assert_eq!(later(&newer, &own).index, 7);
    assert_eq!(later(&own, &empty).index, 5, "a list of nobody says nothing");
}

#[test]
fn a_damaged_generation_is_named_and_the_one_before_is_taken() {
    let place = tempfile::tempdir().expect("a folder");
    let folder = Folder::open(&place.path().join("deep/er"), 0, 3).expect("a folder");
    assert!(choose::<Thing>(&folder, &asks(&list(1, 0..3))).expect("empty").taken.is_none());
    for age in [5, 4, 3, 2, 1] {
        put(&folder, &head(NOW - age * 1_000_000));
    }
    let records = folder.records().expect("a folder");
    assert_eq!(records.len(), 3, "three generations are kept");
    // The power went before the latest was on the disk whole; the one before has a bad block.
    let whole = fs::read(&records[0]).expect("a file");
    fs::write(&records[0], &whole[..whole.len() / 2]).expect("a file");
    let mut bad = fs::read(&records[1]).expect("a file");
    bad[40] ^= 1;
    fs::write(&records[1], bad).expect("a file");
    // A process that was killed while it wrote.
    fs::write(place.path().join("deep/er/worker-0.77.part"), b"{\"snapshot\":1").expect("a file");
    let known = list(1, 0..3);
    let choice = choose::<Thing>(&folder, &asks(&known)).expect("a folder");
    let (path, record, age) = choice.taken.expect("the third");
    assert_eq!((path, record.known, age), (records[2].clone(), things(), 3_000_000));
    let left: Vec<_> = choice.left.iter().map(|(path, why)| (path.clone(), why.to_string())).collect();
    assert_eq!((left.len(), &left[0].0, &left[1].0), (2, &records[0], &records[1]));
    assert!(left[0].1.contains("cut off") && left[1].1.contains("the sum is"), "{left:?}");
    assert!(matches!(choice.left[0].1, Why::Unreadable(_)));
}

#[test]
fn a_disk_that_is_full_is_an_error_and_changes_nothing() {
    let full = fs::OpenOptions::new().write(true).open("/dev/full").expect("Linux");
    let begun = Encoder::begin(io::BufWriter::new(full), &head(NOW));
    let why = begun.and_then(|mut encoder| {
        lines().iter().try_for_each(|line| encoder.line(line))?;
        encoder.end().map(drop)
    });
    assert_eq!(why.expect_err("full").kind(), io::ErrorKind::StorageFull);
    // In a folder: the part goes to a full device, the generations before stay, nothing is left over.
    let place = tempfile::tempdir().expect("a folder");
    let folder = Folder::open(place.path(), 0, 2).expect("a folder");
    put(&folder, &head(NOW - 1));
    let part = place.path().join(format!("worker-0.{}.part", std::process::id()));
    std::os::unix::fs::symlink("/dev/full", &part).expect("a link");
    let mut writer = Writer::start(folder.clone()).expect("a thread");
    writer.begin(head(NOW));
    writer.lines(lines());
    writer.end();
    assert_eq!(told(&mut writer).expect_err("full").kind(), io::ErrorKind::StorageFull);
    assert_eq!((folder.records().expect("a folder").len(), part.exists()), (1, false));
    // Room again: the next one is written.
    writer.begin(head(NOW + 1));
    writer.lines(lines());
    writer.end();
    assert_eq!(told(&mut writer).expect("room"), 6);
    assert_eq!(folder.records().expect("a folder").len(), 2);
}

fn told(writer: &mut Writer<Thing>) -> io::Result<u64> {
    let began = std::time::Instant::now();
    loop {
        if let Some(told) = writer.told() {
            assert!(writer.is_idle());
            return told;
        }
        assert!(began.elapsed().as_secs() < 60, "nothing is told");
        std::thread::yield_now();
    }
}

#[test]
fn a_writer_that_is_dropped_ends_what_was_handed_to_it_and_leaves_out_what_has_no_end() {
    let place = tempfile::tempdir().expect("a folder");
    let folder = Folder::open(place.path(), 3, 2).expect("a folder");
    let mut writer = Writer::start(folder.clone()).expect("a thread");
    writer.begin(head(NOW));
    writer.lines(lines());
    writer.end();
    drop(writer);
    let mut writer = Writer::<Thing>::start(folder.clone()).expect("a thread");
    writer.begin(head(NOW + 1));
    drop(writer);
    let names = |path: &Path| fs::read_dir(path).expect("a folder").count();
    assert_eq!((folder.records().expect("a folder").len(), names(place.path())), (1, 1));
    assert_eq!(Folder::open(place.path(), 0, 2).and_then(|f| f.records()).expect("a folder").len(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_are_refused_or_are_what_was_written(
        cuts in prop::collection::vec((0usize..400, 0usize..400, any::<bool>()), 1..4),
        noise in prop::collection::vec(any::<u8>(), 0..40),
    ) {
        let whole = written(&head(NOW), &lines());
        // Pieces of a good record in another order, doubled, with noise between.
        let mut bytes = Vec::new();
        for (from, length, noisy) in cuts {
            let from = from.min(whole.len());
            let to = (from + length).min(whole.len());
            bytes.extend_from_slice(&whole[from..to]);
            if noisy { bytes.extend_from_slice(&noise); }
        }
        if let Ok(record) = decode::<Thing>(&bytes) {
            prop_assert_eq!(bytes, whole);
            prop_assert_eq!(record.known, things());
        }
    }
}
