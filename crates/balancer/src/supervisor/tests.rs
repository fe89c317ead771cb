//! Notifications over sockets by path and by name.

use super::*;

#[test]
fn a_supervisor_is_notified_by_path_and_by_name_and_its_absence_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("notify");
    assert!(send(path.as_os_str().as_bytes(), b"READY=1\n").is_err(), "nobody is there");
    let by_path = UnixDatagram::bind(&path).expect("a socket");
    let name = format!("shorewharf-test-{}", std::process::id());
    let by_name = SocketAddr::from_abstract_name(&name).and_then(|at| UnixDatagram::bind_addr(&at));
    let by_name = by_name.expect("a socket");
    for (to, at) in [(path.as_os_str().as_bytes(), by_path), (format!("@{name}").as_bytes(), by_name)] {
        send(to, b"READY=1\n").expect("told");
        let mut words = [0; 64];
        let n = at.recv(&mut words).expect("heard");
        assert_eq!(&words[..n], b"READY=1\n");
    }
}
