//! Unit tests of names.

use super::*;

#[test]
fn one_person_cannot_hold_two_spellings_of_one_name() {
    let canonical = |t: &str| TenantName::new(t).unwrap().canonical();
    for (a, b) in [
        ("Bolnica", "BOLNICA"),
        ("Bolnica", "Ｂｏｌｎｉｃａ"),
        ("Straße", "STRASSE"),
        ("Knji\u{17e}nica", "Knjiz\u{30c}nica"),
        ("pay\u{200b}roll", "payroll"),
        ("Ωμέγα", "ΩΜΈΓΑ"),
    ] {
        assert_eq!(canonical(a), canonical(b), "{a} {b}");
    }
    assert_ne!(canonical("grad"), canonical("град"));
}

#[test]
fn names_of_one_byte_and_of_four_kibibytes_are_taken_and_what_breaks_a_line_is_not() {
    for good in ["a".to_owned(), "長".repeat(1365), "۱ تذكرة".into(), "a/b?c#d%41".into(), "x".repeat(4096)]
    {
        assert_eq!(TenantName::new(&good).unwrap().as_str(), good);
    }
    // The last but one grows eighteenfold where it is folded.
    for bad in
        ["", " a", "a\n", "a\u{202e}b", ".", "..", "\u{200b}", &"x".repeat(4097), &"ﷺ".repeat(300), "a\0"]
    {
        assert_eq!(TenantName::new(bad).unwrap_err().field, "name", "{bad:?}");
    }
}

#[test]
fn names_that_look_alike_in_two_scripts_are_seen() {
    let form = |t: &str| TenantName::new(t).unwrap().confusable_form();
    let (latin, cyrillic, mixed) = (form("pay"), form("рау"), form("pаy"));
    assert_eq!(latin.skeleton_hash, cyrillic.skeleton_hash);
    assert_eq!(latin.skeleton_hash, mixed.skeleton_hash);
    assert_ne!(latin.scripts, cyrillic.scripts);
    assert_ne!(latin.scripts, mixed.scripts);
    assert_eq!(form("modern"), form("modem"));
}
