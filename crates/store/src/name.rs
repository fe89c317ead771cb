//! Names of tenants and classes: which are valid, when two are the same, and when two can be confused.
//!
//! A tenant's name may be in any script. It is kept as given, composed (NFC), for display. Its canonical form
//! identifies the tenant: NFKC, case-folded by Unicode's default folding, without default-ignorable characters.
//! `Bolnica`, `BOLNICA` and full-width `Ｂｏｌｎｉｃａ` have one canonical form.
//!
//! Two names are confusable if they differ and their skeletons by UTS #39 are equal. The later name is rejected if it
//! is written in other scripts, as Cyrillic `рау` beside Latin `pay`. Within the same scripts (`modern` and `modem`)
//! both are allowed, since the tables would reject many legitimate names.

use crate::digest::sha256_hex;
use crate::error::InvalidValue;
use serde::{Deserialize, Serialize};
use std::fmt;
use unicode_normalization::UnicodeNormalization;
use unicode_security::mixed_script::AugmentedScriptSet;
use unicode_security::skeleton;

/// The longest tenant name in bytes, both as displayed and in canonical form.
pub const MAX_NAME_BYTES: usize = 4096;

/// The longest class name in bytes.
pub const MAX_CLASS_NAME_BYTES: usize = 64;

/// Rounds of folding and composing after which every form is stable.
const MAX_FOLDING_ROUNDS: usize = 4;

/// Ranges of Default_Ignorable_Code_Point in Unicode 16.
const DEFAULT_IGNORABLE: [(u32, u32); 17] = [
    (0xad, 0xad),
    (0x34f, 0x34f),
    (0x61c, 0x61c),
    (0x115f, 0x1160),
    (0x17b4, 0x17b5),
    (0x180b, 0x180f),
    (0x200b, 0x200f),
    (0x202a, 0x202e),
    (0x2060, 0x206f),
    (0x3164, 0x3164),
    (0xfe00, 0xfe0f),
    (0xfeff, 0xfeff),
    (0xffa0, 0xffa0),
    (0xfff0, 0xfff8),
    (0x1bca0, 0x1bca3),
    (0x1d173, 0x1d17a),
    (0xe0000, 0xe0fff),
];

fn is_default_ignorable(character: char) -> bool {
    let code_point = u32::from(character);
    DEFAULT_IGNORABLE.iter().any(|&(first, last)| (first..=last).contains(&code_point))
}

/// Whether a character changes the direction of the text after it.
fn is_bidi_control(character: char) -> bool {
    matches!(character, '\u{202a}'..='\u{202e}' | '\u{2066}'..='\u{2069}')
}

fn is_line_separator(character: char) -> bool {
    matches!(character, '\u{2028}' | '\u{2029}')
}

fn is_forbidden(character: char) -> bool {
    character.is_control() || is_bidi_control(character) || is_line_separator(character)
}

/// A tenant's name, checked and composed (NFC).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TenantName {
    display: String,
}

impl TenantName {
    /// Checks a name.
    ///
    /// # Errors
    /// If the name or its canonical form is empty or longer than [`MAX_NAME_BYTES`]; if it has control characters,
    /// line separators or characters that change the direction of text; if it begins or ends with white space; and
    /// for `.` and `..`, which do not survive in the path of a URL.
    pub fn new(text: &str) -> Result<TenantName, InvalidValue> {
        let invalid = |cause: String| Err(InvalidValue::new("name", cause));
        if text.is_empty() {
            return invalid("is empty".into());
        }
        if text.len() > MAX_NAME_BYTES {
            return invalid(format!("has {} bytes; the limit is {MAX_NAME_BYTES}", text.len()));
        }
        let display: String = text.nfc().collect();
        if let Some(character) = display.chars().find(|&character| is_forbidden(character)) {
            let code_point = u32::from(character);
            return invalid(format!("contains the forbidden character U+{code_point:04X}"));
        }
        if display.trim() != display {
            return invalid("begins or ends with white space".into());
        }
        if matches!(display.as_str(), "." | "..") {
            return invalid(format!("is {display:?}, which would be removed from the path of a URL"));
        }
        let name = TenantName { display };
        let canonical = name.canonical();
        if canonical.trim().is_empty() {
            return invalid("has no visible characters".into());
        }
        let longest = canonical.len().max(name.display.len());
        if longest > MAX_NAME_BYTES {
            return invalid(format!(
                "has {longest} bytes in composed or canonical form; the limit is {MAX_NAME_BYTES}"
            ));
        }
        Ok(name)
    }

    /// The name as it is displayed.
    pub fn as_str(&self) -> &str {
        &self.display
    }

    /// The form that identifies the tenant; the name of its record.
    pub fn canonical(&self) -> String {
        // Folding can yield text that composes further, and the other way round.
        let mut form = fold(&self.display);
        for _ in 0..MAX_FOLDING_ROUNDS {
            let next = fold(&form);
            if next == form {
                break;
            }
            form = next;
        }
        form
    }

    /// What decides whether the name can be confused with another one.
    pub fn confusable_form(&self) -> ConfusableForm {
        let canonical = self.canonical();
        let skeleton: String = skeleton(&canonical).collect();
        let scripts = AugmentedScriptSet::for_str(&canonical);
        ConfusableForm { skeleton_hash: sha256_hex(skeleton.as_bytes()), scripts: scripts.to_string() }
    }
}

fn fold(text: &str) -> String {
    let visible: String = text.nfkc().filter(|&character| !is_default_ignorable(character)).collect();
    caseless::default_case_fold_str(&visible).nfkc().collect()
}

impl fmt::Display for TenantName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.display)
    }
}

impl TryFrom<String> for TenantName {
    type Error = InvalidValue;
    fn try_from(text: String) -> Result<TenantName, InvalidValue> {
        TenantName::new(&text)
    }
}

impl From<TenantName> for String {
    fn from(name: TenantName) -> String {
        name.display
    }
}

/// The form of a name under which confusable names are found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfusableForm {
    /// SHA-256 of the skeleton, which confusable names have in common.
    pub skeleton_hash: String,
    /// The scripts that can write all of the name; compared, never parsed.
    pub scripts: String,
}

/// The name of a class: 1 to 64 of ASCII letters, digits, `-`, `_` and `.`, with a letter or digit first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ClassName(String);

impl ClassName {
    /// Checks a name.
    ///
    /// # Errors
    /// If the name has another form.
    pub fn new(text: &str) -> Result<ClassName, InvalidValue> {
        let is_allowed = |byte: &u8| byte.is_ascii_alphanumeric() || b"-_.".contains(byte);
        let bytes = text.as_bytes();
        let is_valid = bytes.first().is_some_and(u8::is_ascii_alphanumeric)
            && bytes.len() <= MAX_CLASS_NAME_BYTES
            && bytes.iter().all(is_allowed);
        if !is_valid {
            let cause = format!(
                "{text:?} is not 1 to 64 characters of A-Z, a-z, 0-9, '-', '_' and '.' with a letter or digit first"
            );
            return Err(InvalidValue::new("class", cause));
        }
        Ok(ClassName(text.into()))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ClassName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl TryFrom<String> for ClassName {
    type Error = InvalidValue;
    fn try_from(text: String) -> Result<ClassName, InvalidValue> {
        ClassName::new(&text)
    }
}

impl From<ClassName> for String {
    fn from(name: ClassName) -> String {
        name.0
    }
}

#[cfg(test)]
mod tests;
