//! Classes of prompts by length.

use crate::ids::Tokens;

/// Prompts up to this many tokens count as short.
pub const SHORT_PROMPT: Tokens = 4096;

/// Longest prompt of the medium class, in tokens.
const MEDIUM_PROMPT: Tokens = 32_000;

/// Longest prompt of the long class, in tokens.
const LONG_PROMPT: Tokens = 100_000;

/// Class of a prompt's length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PromptClass {
    /// Up to 4,096 tokens.
    Short,
    /// Up to 32,000 tokens.
    Medium,
    /// Up to 100,000 tokens.
    Long,
    /// Over 100,000 tokens.
    Huge,
}

impl PromptClass {
    /// All classes, shortest first.
    pub const ALL: [Self; 4] = [Self::Short, Self::Medium, Self::Long, Self::Huge];

    /// Class of a prompt.
    ///
    /// ```
    /// use bitternlead::prompt_class::PromptClass;
    ///
    /// assert_eq!(PromptClass::of(1000).name(), "short");
    /// ```
    pub fn of(tokens: Tokens) -> Self {
        match tokens {
            _ if tokens <= SHORT_PROMPT => Self::Short,
            _ if tokens <= MEDIUM_PROMPT => Self::Medium,
            _ if tokens <= LONG_PROMPT => Self::Long,
            _ => Self::Huge,
        }
    }

    /// Name in metrics and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Medium => "medium",
            Self::Long => "long",
            Self::Huge => "huge",
        }
    }

    /// What the class adds to a priority level, so that shorter prompts go first.
    pub fn level(self) -> u32 {
        self as u32
    }
}
