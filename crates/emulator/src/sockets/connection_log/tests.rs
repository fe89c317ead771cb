//! Tests of the module that these stand beside.

use super::*;

#[test]
fn only_the_wait_may_change_and_only_own_receipts_count() {
    let mut book = ConnectionLog {
        names: NameIndex { classes: [("chat".to_owned(), 0)].into(), ..NameIndex::default() },
        classes: vec!["chat".to_owned()],
        tenants: vec![],
        sent: HashMap::new(),
        bad: HashSet::new(),
    };
    let (who, conn) = (BalancerId(3), ConnId(0x9b1f));
    let line = without_wait(b"OPEN 9b1f 7 c=chat,d=2000,g=5c");
    book.sent.insert(conn, Entry { balancer: who, line, accepted_links: vec![] });
    book.record_misbehaving(b"OPEN 9b1f 7 c=none,d=1");
    for (line, who, wanted) in [
        (&b"OPEN 9b1f 7 c=chat,d=1990,g=5c"[..], who, FirstLine::Sent(conn, 1_990_000)),
        (b"OPEN 9b1f 7 c=chat,d=1990,g=5c", BalancerId(0), FirstLine::Unknown),
        (b"OPEN 9b1f 7 c=chat,g=5c", who, FirstLine::Unknown),
        (b"OPEN 9b1f 8 c=chat,d=1990,g=5c", who, FirstLine::Unknown),
        (b"OPEN 9b1f 7 c=chat,d=1990,g=5c,again=1", who, FirstLine::Unknown),
        (b"OPEN 9b1f 7 c=none,d=5", who, FirstLine::Unusable),
        (b"HELLO", who, FirstLine::Unknown),
    ] {
        assert_eq!(book.classify_first_line(who, line), wanted, "{}", String::from_utf8_lossy(line));
    }
    let receipt = book.accept(conn, LinkId(5));
    assert_eq!(book.link_of_receipt(conn, receipt.as_bytes()), Some(LinkId(5)));
    assert_eq!(book.link_of_receipt(ConnId(0x9b20), receipt.as_bytes()), None, "another's");
    assert_eq!(book.link_of_receipt(conn, b"9b1f.6"), None, "no node made it");
}
