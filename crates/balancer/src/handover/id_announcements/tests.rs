//! Tests of the announcements of open ids.

use super::*;

#[test]
fn each_change_is_sent_once_and_only_for_what_the_process_knows() {
    let mut announcements = IdAnnouncements::new(&[1], &[]);
    let open_but_three = |id| if id == 3 { IdState::Free } else { IdState::Open };
    assert_eq!(announcements.update(&[1, 2, 2, 3], open_but_three), [OpenIdChange::Opened(2)]);
    let closed = [OpenIdChange::Closed(1), OpenIdChange::Closed(2)];
    assert_eq!(announcements.update(&[1, 2, 1, 3], |_| IdState::Free), closed);
    assert_eq!(announcements.update(&[1], |_| IdState::Open), [OpenIdChange::Opened(1)]);
}

#[test]
fn a_retained_id_is_sent_once_and_not_withdrawn() {
    let mut announcements = IdAnnouncements::new(&[1], &[2]);
    let retained = [OpenIdChange::Retained(1), OpenIdChange::Retained(3)];
    assert_eq!(announcements.update(&[1, 2, 3, 1], |_| IdState::Retained), retained);
    assert_eq!(announcements.update(&[1, 2, 3], |_| IdState::Free), []);
    assert_eq!(announcements.update(&[2], |_| IdState::Open), [OpenIdChange::Opened(2)]);
}
