//! Tests of the announcements of open ids.

use super::*;

#[test]
fn each_change_is_sent_once_and_only_for_what_the_process_knows() {
    let mut announcements = IdAnnouncements::new(&[1]);
    assert_eq!(announcements.update(&[1, 2, 2, 3], |id| id != 3), [OpenIdChange::Opened(2)]);
    let closed = [OpenIdChange::Closed(1), OpenIdChange::Closed(2)];
    assert_eq!(announcements.update(&[1, 2, 1, 3], |_| false), closed);
    assert_eq!(announcements.update(&[1], |_| true), [OpenIdChange::Opened(1)]);
}
