//! Tests of the announcements of open ids.

use super::*;

#[test]
fn each_change_is_sent_once_and_only_for_what_the_process_knows() {
    let mut announcements = IdAnnouncements::new(&[1], &[]);
    let open_but_three = |id| if id == 3 { IdState::Free } else { IdState::Open };
    assert_eq!(announcements.update(&[1, 2, 2, 3], open_but_three), [OpenIdMessage::Opened(2)]);
    let closed = [OpenIdMessage::Closed(1), OpenIdMessage::Closed(2)];
    assert_eq!(announcements.update(&[1, 2, 1, 3], |_| IdState::Free), closed);
    assert_eq!(announcements.update(&[1], |_| IdState::Open), [OpenIdMessage::Opened(1)]);
}

#[test]
fn a_retained_id_is_sent_once_and_not_withdrawn() {
    let mut announcements = IdAnnouncements::new(&[1], &[2]);
    let retained = [OpenIdMessage::Retained(1), OpenIdMessage::Retained(3)];
    assert_eq!(announcements.update(&[1, 2, 3, 1], |_| IdState::Retained), retained);
    assert_eq!(announcements.update(&[1, 2, 3], |_| IdState::Free), []);
    assert_eq!(announcements.update(&[2], |_| IdState::Open), [OpenIdMessage::Opened(2)]);
}
