//! Tests of the module that these stand beside.

use super::*;

#[test]
fn what_is_written_is_read_again_and_gaps_have_defaults() {
    let text = r#"{"endpoints":[{"name":"s-1","address":"127.0.0.1:1","status":"Ready","new":1}]}"#;
    let listing: Listing = serde_json::from_str(text).expect("good");
    let e = &listing.endpoints[0];
    assert_eq!((listing.index, listing.snapshot, e.weight, e.since_ms), (0, false, 1.0, 0.0));
    let again: Listing =
        serde_json::from_str(&serde_json::to_string(&listing).expect("written")).expect("read");
    assert_eq!(again, listing);
    assert!(serde_json::from_str::<Listing>(r#"{"endpoints":[{"name":"s-1"}]}"#).is_err());
}
