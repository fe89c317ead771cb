//! Tests of notifications to sockets in the file system and in the abstract namespace.

use super::*;

#[test]
fn a_supervisor_is_notified_by_path_and_by_name_and_its_absence_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("notify");
    assert!(send(path.as_os_str().as_bytes(), b"READY=1\n").is_err(), "no socket exists at the path");
    let by_path = UnixDatagram::bind(&path).expect("a socket");
    let name = format!("shorewharf-test-{}", std::process::id());
    let by_name = SocketAddr::from_abstract_name(&name).and_then(|address| UnixDatagram::bind_addr(&address));
    let by_name = by_name.expect("a socket");
    for (address, supervisor) in
        [(path.as_os_str().as_bytes(), by_path), (format!("@{name}").as_bytes(), by_name)]
    {
        send(address, b"READY=1\n").expect("sent");
        let mut received = [0; 64];
        let n = supervisor.recv(&mut received).expect("a notification");
        assert_eq!(&received[..n], b"READY=1\n");
    }
}
