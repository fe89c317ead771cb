//! Tests of the validation and the canonical and confusable forms of tenant names.

use super::*;

#[test]
fn spellings_of_one_name_have_the_same_canonical_form() {
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
fn names_of_1_to_4096_bytes_are_accepted_and_invalid_names_are_rejected() {
    for good in ["a".to_owned(), "長".repeat(1365), "۱ تذكرة".into(), "a/b?c#d%41".into(), "x".repeat(4096)]
    {
        assert_eq!(TenantName::new(&good).unwrap().as_str(), good);
    }
    // The second-last name is below the limit, but its canonical form has 18 times as many characters and exceeds it.
    for bad in
        ["", " a", "a\n", "a\u{202e}b", ".", "..", "\u{200b}", &"x".repeat(4097), &"ﷺ".repeat(300), "a\0"]
    {
        assert_eq!(TenantName::new(bad).unwrap_err().field, "name", "{bad:?}");
    }
}

#[test]
fn confusable_names_have_the_same_skeleton_and_differ_in_their_scripts() {
    let form = |t: &str| TenantName::new(t).unwrap().confusable_form();
    let (latin, cyrillic, mixed) = (form("pay"), form("рау"), form("pаy"));
    assert_eq!(latin.skeleton_hash, cyrillic.skeleton_hash);
    assert_eq!(latin.skeleton_hash, mixed.skeleton_hash);
    assert_ne!(latin.scripts, cyrillic.scripts);
    assert_ne!(latin.scripts, mixed.scripts);
    assert_eq!(form("modern"), form("modem"));
}
