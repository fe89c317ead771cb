//! Tests of the shared folder: changes by several processes, and its files byte for byte.

use super::*;
use crate::discovery::update::server_id;

fn folder(parent: &Path) -> SharedFolder {
    SharedFolder::open(parent, "127.0.0.1:8000".parse().expect("an address")).expect("a folder")
}

fn ids(folder: &mut SharedFolder) -> Vec<u64> {
    folder.read(&BTreeMap::new()).expect("readable").keys().map(|id| id.0).collect()
}

#[test]
fn servers_stored_by_one_process_are_read_by_another_despite_unexpected_files() {
    let parent = tempfile::tempdir().expect("a folder");
    let (first, mut second) = (folder(parent.path()), folder(parent.path()));
    first.store(ServerId(7), "s-7").expect("stored");
    first.store(ServerId(7), "s-7").expect("stored again");
    second.store(ServerId(8), "s-8").expect("stored");
    // A temporary file of a process that died while writing, and files that no balancer has written.
    fs::write(first.path.join("0000000000000009.1"), "").expect("a file");
    fs::write(first.path.join("out/readme"), "hello").expect("a file");
    fs::write(first.path.join("out/000000000000000a"), [0xff, 0]).expect("a file");
    let disabled = second.read(&BTreeMap::new()).expect("readable");
    assert_eq!(disabled.keys().map(|id| id.0).collect::<Vec<_>>(), [7, 8, 10]);
    assert_eq!((&*disabled[&ServerId(7)].name, &*disabled[&ServerId(10)].name), ("s-7", ""));
    assert!(disabled[&ServerId(7)].disabled_at > 1e9);
    assert_eq!(second.reported.len(), 2);
    first.remove(ServerId(7)).expect("removed");
    first.remove(ServerId(7)).expect("removing it again is no error");
    assert_eq!(ids(&mut second), [8, 10]);
    // A balancer with another address has a folder of its own.
    let mut other_balancer =
        SharedFolder::open(parent.path(), "127.0.0.1:8001".parse().expect("an address")).expect("a folder");
    assert!(ids(&mut other_balancer).is_empty());
}

#[test]
fn concurrent_changes_of_two_processes_lose_nothing() {
    let parent = tempfile::tempdir().expect("a folder");
    let path = parent.path();
    std::thread::scope(|scope| {
        for process in 0..2u64 {
            scope.spawn(move || {
                let folder = folder(path);
                for i in 0..200 {
                    folder.store(ServerId(process * 1000 + i), "s").expect("stored");
                    if i % 2 == 1 {
                        folder.remove(ServerId(process * 1000 + i)).expect("removed");
                    }
                }
            });
        }
    });
    let expected: Vec<u64> =
        [0, 1000].into_iter().flat_map(|first| (0..200).step_by(2).map(move |i| first + i)).collect();
    assert_eq!(ids(&mut folder(path)), expected);
}

/// The file of [`SERVER`], byte for byte.
const FILE: &str =
    include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/folder/out/ace623f1fdc27c8a"));
const SERVER: &str = "s-5be2a07c";

/// Returns the paths of all files below a folder, relative to it.
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
        let parent = tempfile::tempdir().expect("a folder");
        let folder =
            SharedFolder::open(parent.path(), listen.parse().expect("an address")).expect("a folder");
        folder.store(server_id(SERVER), SERVER).expect("stored");
        assert_eq!(files(parent.path()), [name]);
        assert_eq!(fs::read_to_string(parent.path().join(name)).expect("a file"), FILE);
    }
}

#[test]
fn a_file_of_another_process_is_read_by_its_name_and_text() {
    let parent = tempfile::tempdir().expect("a folder");
    let mut folder = folder(parent.path());
    fs::write(parent.path().join("shorewharf-127.0.0.1-8000/out/ace623f1fdc27c8a"), FILE).expect("a file");
    let disabled = folder.read(&BTreeMap::new()).expect("readable");
    let names: Vec<_> = disabled.iter().map(|(server, entry)| (*server, &*entry.name)).collect();
    assert_eq!(names, [(server_id(SERVER), SERVER)]);
}
