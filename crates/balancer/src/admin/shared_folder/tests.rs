//! The shared folder: what several processes store and read, and its files byte for byte.

use super::*;
use crate::discovery::update::server_id;

fn folder(common: &Path) -> SharedFolder {
    SharedFolder::open(common, "127.0.0.1:8000".parse().expect("an address")).expect("a folder")
}

fn ids(folder: &mut SharedFolder) -> Vec<u64> {
    folder.read(&BTreeMap::new()).expect("readable").keys().map(|id| id.0).collect()
}

#[test]
fn what_one_process_stores_another_reads_whatever_else_is_in_the_folder() {
    let common = tempfile::tempdir().expect("a folder");
    let (one, mut other) = (folder(common.path()), folder(common.path()));
    one.store(ServerId(7), "s-7").expect("kept");
    one.store(ServerId(7), "s-7").expect("kept again");
    other.store(ServerId(8), "s-8").expect("kept");
    // A process died while it wrote, and somebody has left something.
    fs::write(one.path.join("0000000000000009.1"), "").expect("a file");
    fs::write(one.path.join("out/readme"), "hello").expect("a file");
    fs::write(one.path.join("out/000000000000000a"), [0xff, 0]).expect("a file");
    let out = other.read(&BTreeMap::new()).expect("readable");
    assert_eq!(out.keys().map(|id| id.0).collect::<Vec<_>>(), [7, 8, 10]);
    assert_eq!((&*out[&ServerId(7)].name, &*out[&ServerId(10)].name), ("s-7", ""));
    assert!(out[&ServerId(7)].disabled_at > 1e9);
    assert_eq!(other.reported.len(), 2);
    one.remove(ServerId(7)).expect("gone");
    one.remove(ServerId(7)).expect("gone before");
    assert_eq!(ids(&mut other), [8, 10]);
    // Another balancer's is another folder.
    let mut third =
        SharedFolder::open(common.path(), "127.0.0.1:8001".parse().expect("an address")).expect("a folder");
    assert!(ids(&mut third).is_empty());
}

#[test]
fn concurrent_changes_of_two_processes_lose_nothing() {
    let common = tempfile::tempdir().expect("a folder");
    let path = common.path();
    std::thread::scope(|s| {
        for process in 0..2u64 {
            s.spawn(move || {
                let folder = folder(path);
                for i in 0..200 {
                    folder.store(ServerId(process * 1000 + i), "s").expect("kept");
                    if i % 2 == 1 {
                        folder.remove(ServerId(process * 1000 + i)).expect("gone");
                    }
                }
            });
        }
    });
    let wanted: Vec<u64> =
        [0, 1000].into_iter().flat_map(|p| (0..200).step_by(2).map(move |i| p + i)).collect();
    assert_eq!(ids(&mut folder(path)), wanted);
}

/// A file as it is written, for the server that the file is named by.
const FILE: &str =
    include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/folder/out/ace623f1fdc27c8a"));
const SERVER: &str = "s-5be2a07c";

/// Every file below a folder, by its path there.
fn files(below: &Path) -> Vec<String> {
    let mut found = Vec::new();
    let mut folders = vec![below.to_owned()];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).expect("readable") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
            } else {
                found.push(path.strip_prefix(below).expect("below").display().to_string());
            }
        }
    }
    found
}

#[test]
fn names_and_text_of_files_are_written_byte_for_byte() {
    for (listen, name) in [
        ("127.0.0.1:8000", "shorewharf-127.0.0.1-8000/out/ace623f1fdc27c8a"),
        ("[::1]:8000", "shorewharf-[--1]-8000/out/ace623f1fdc27c8a"),
    ] {
        let common = tempfile::tempdir().expect("a folder");
        let folder =
            SharedFolder::open(common.path(), listen.parse().expect("an address")).expect("a folder");
        folder.store(server_id(SERVER), SERVER).expect("kept");
        assert_eq!(files(common.path()), [name]);
        assert_eq!(fs::read_to_string(common.path().join(name)).expect("a file"), FILE);
    }
}

#[test]
fn a_file_of_another_process_is_read_by_its_name_and_text() {
    let common = tempfile::tempdir().expect("a folder");
    let mut folder = folder(common.path());
    fs::write(common.path().join("shorewharf-127.0.0.1-8000/out/ace623f1fdc27c8a"), FILE).expect("a file");
    let read = folder.read(&BTreeMap::new()).expect("readable");
    let read: Vec<_> = read.iter().map(|(server, one)| (*server, &*one.name)).collect();
    assert_eq!(read, [(server_id(SERVER), SERVER)]);
}
