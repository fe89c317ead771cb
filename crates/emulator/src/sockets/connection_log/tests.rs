//! Tests of the log of first lines and receipts.

use super::*;

#[test]
fn first_lines_may_differ_only_in_their_timeout_and_receipts_belong_to_one_connection() {
    let mut log = ConnectionLog {
        names: NameIndex { classes: [("chat".to_owned(), 0)].into(), ..NameIndex::default() },
        classes: vec!["chat".to_owned()],
        tenants: vec![],
        sent: HashMap::new(),
        misbehaving: HashSet::new(),
    };
    let (who, conn) = (BalancerId(3), ConnId(0x9b1f));
    let line = without_timeout(b"OPEN 9b1f 7 c=chat,d=2000,g=5c");
    log.sent.insert(conn, Entry { balancer: who, line, accepted_links: vec![] });
    log.record_misbehaving(b"OPEN 9b1f 7 c=none,d=1");
    for (line, who, expected) in [
        (&b"OPEN 9b1f 7 c=chat,d=1990,g=5c"[..], who, FirstLine::Sent(conn, 1_990_000)),
        (b"OPEN 9b1f 7 c=chat,d=1990,g=5c", BalancerId(0), FirstLine::Unknown),
        (b"OPEN 9b1f 7 c=chat,g=5c", who, FirstLine::Unknown),
        (b"OPEN 9b1f 8 c=chat,d=1990,g=5c", who, FirstLine::Unknown),
        (b"OPEN 9b1f 7 c=chat,d=1990,g=5c,again=1", who, FirstLine::Unknown),
        (b"OPEN 9b1f 7 c=none,d=5", who, FirstLine::Unusable),
        (b"HELLO", who, FirstLine::Unknown),
    ] {
        assert_eq!(log.classify_first_line(who, line), expected, "{}", String::from_utf8_lossy(line));
    }
    let receipt = log.accept(conn, LinkId(5));
    assert_eq!(log.link_of_receipt(conn, receipt.as_bytes()), Some(LinkId(5)));
    assert_eq!(
        log.link_of_receipt(ConnId(0x9b20), receipt.as_bytes()),
        None,
        "the receipt of another connection"
    );
    assert_eq!(log.link_of_receipt(conn, b"9b1f.6"), None, "a receipt that no node issued");
}
