//! Typed access to one object of the document. Each error names the key at fault.

use crate::error::{SettingsError, ValueType};
use serde_json::Value;

/// A year in nanoseconds. Longer times, and counts above this number, are reduced to it, so that
/// adding several times cannot overflow.
pub(crate) const MAX_SPAN: i64 = 365 * 86_400 * 1_000_000_000;

/// An object of the document.
#[derive(Clone, Copy)]
pub(crate) struct Section<'a>(&'a Value);

impl<'a> Section<'a> {
    /// Wraps a value. If it is not an object, all keys are missing.
    pub(crate) fn new(value: &'a Value) -> Self {
        Section(value)
    }

    /// Returns the value of a key, if present.
    pub(crate) fn get(self, key: &str) -> Option<&'a Value> {
        self.0.get(key)
    }

    /// Returns the object under a key.
    pub(crate) fn section(self, key: &'static str) -> Result<Section<'a>, SettingsError> {
        let value = self.get(key).filter(|value| value.is_object());
        value.map(Section).ok_or(SettingsError::WrongType {
            key,
            expected: ValueType::Object,
        })
    }

    pub(crate) fn list(self, key: &'static str) -> Result<&'a [Value], SettingsError> {
        let list = self.typed(key, ValueType::List, Value::as_array)?;
        Ok(list)
    }

    pub(crate) fn text(self, key: &'static str) -> Result<&'a str, SettingsError> {
        self.typed(key, ValueType::Text, Value::as_str)
    }

    pub(crate) fn flag(self, key: &'static str) -> Result<bool, SettingsError> {
        self.typed(key, ValueType::Flag, Value::as_bool)
    }

    pub(crate) fn number(self, key: &'static str) -> Result<f64, SettingsError> {
        self.typed(key, ValueType::Number, Value::as_f64)
    }

    pub(crate) fn non_negative_number(self, key: &'static str) -> Result<f64, SettingsError> {
        let number = self.number(key)?;
        if number >= 0.0 {
            Ok(number)
        } else {
            Err(SettingsError::Negative(key))
        }
    }

    pub(crate) fn integer(self, key: &'static str) -> Result<i64, SettingsError> {
        self.typed(key, ValueType::Integer, Value::as_i64)
    }

    /// Returns an integer of 0 or more, reduced to [`MAX_SPAN`] if it is larger.
    pub(crate) fn non_negative(self, key: &'static str) -> Result<i64, SettingsError> {
        let number = self.integer(key)?;
        if number >= 0 {
            Ok(number.min(MAX_SPAN))
        } else {
            Err(SettingsError::Negative(key))
        }
    }

    /// Like [`Self::non_negative`], but returns `default` if the key is missing.
    pub(crate) fn non_negative_or(
        self,
        key: &'static str,
        default: i64,
    ) -> Result<i64, SettingsError> {
        match self.get(key) {
            Some(_) => self.non_negative(key),
            None => Ok(default),
        }
    }

    /// Returns an integer above 0, reduced to [`MAX_SPAN`] if it is larger. The router divides by
    /// these values, so 0 would be a division by zero.
    pub(crate) fn positive(self, key: &'static str) -> Result<i64, SettingsError> {
        let number = self.integer(key)?;
        if number > 0 {
            Ok(number.min(MAX_SPAN))
        } else {
            Err(SettingsError::NotPositive(key))
        }
    }

    /// Returns an integer from 0 to 2^32 - 1.
    pub(crate) fn index(self, key: &'static str) -> Result<u32, SettingsError> {
        u32::try_from(self.integer(key)?).map_err(|_| SettingsError::OutOfRange(key))
    }

    fn typed<T>(
        self,
        key: &'static str,
        expected: ValueType,
        read: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Result<T, SettingsError> {
        self.get(key)
            .and_then(read)
            .ok_or(SettingsError::WrongType { key, expected })
    }
}
