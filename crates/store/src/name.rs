//! Names of tenants and classes: their validation, and the rules by which names of tenants are equal or confusable.
//!
//! A tenant's name may be in any script. The name as given, composed (NFC), is stored for display. Its canonical form
//! identifies the tenant: it is normalised (NFKC), case-folded with Unicode's default folding, and has no
//! default-ignorable characters. `Bolnica`, `BOLNICA` and full-width `Ｂｏｌｎｉｃａ` have the same canonical form.
//!
//! Two different names are confusable if their skeletons as defined by UTS #39 are equal. The name that is created
//! later is rejected if it is written in other scripts, such as Cyrillic `рау` when Latin `pay` exists. If both are
//! written in the same scripts, such as `modern` and `modem`, they are allowed, since the rule would otherwise reject
//! many legitimate names.

use crate::digest::sha256_hex;
use crate::error::InvalidValue;
use serde::{Deserialize, Serialize};
use std::fmt;
use unicode_normalization::UnicodeNormalization;
use unicode_security::mixed_script::AugmentedScriptSet;
use unicode_security::skeleton;

/// The maximum length of a tenant name in bytes, both as displayed and in canonical form.
pub const MAX_NAME_BYTES: usize = 4096;

/// The maximum length of a class name in bytes.
pub const MAX_CLASS_NAME_BYTES: usize = 64;

/// The number of rounds of folding and composing after which every form is stable.
const MAX_FOLDING_ROUNDS: usize = 4;

/// The ranges of code points with the property Default_Ignorable_Code_Point in Unicode 16.
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

/// Whether a character changes the direction of the text that follows.
fn is_bidi_control(character: char) -> bool {
    matches!(character, '\u{202a}'..='\u{202e}' | '\u{2066}'..='\u{2069}')
}

fn is_line_separator(character: char) -> bool {
    matches!(character, '\u{2028}' | '\u{2029}')
}

fn is_forbidden(character: char) -> bool {
    character.is_control() || is_bidi_control(character) || is_line_separator(character)
}

/// A valid tenant name, composed (NFC).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TenantName {
    display: String,
}

impl TenantName {
    /// Validates and composes a name.
    ///
    /// # Errors
    /// If the name or its canonical form is empty or longer than [`MAX_NAME_BYTES`]; if it has control characters,
    /// line separators or characters that change the direction of text; if it begins or ends with white space; or if
    /// it is `.` or `..`, which are removed from the path of a URL.
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

    /// The canonical form, which identifies the tenant and is the name of its record.
    pub fn canonical(&self) -> String {
        // Folding can produce text that can be composed further, and composing can produce text that can be folded.
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

    /// The form by which names that can be confused with this one are found.
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

/// The form of a name by which confusable names are found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfusableForm {
    /// The SHA-256 hash of the skeleton, which is the same for confusable names.
    pub skeleton_hash: String,
    /// The scripts in which the whole name can be written, as text to compare with that of other names.
    pub scripts: String,
}

/// The name of a class: 1 to 64 characters, each an ASCII letter, a digit, `-`, `_` or `.`. The first is a letter or
/// digit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ClassName(String);

impl ClassName {
    /// Validates a name.
    ///
    /// # Errors
    /// If the name does not have the form given above.
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
