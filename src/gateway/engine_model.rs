//! Times of an engine, predicted from the figures that its service publishes.
//!
//! An engine works in passes: a pass that includes writers makes `stride` steps, and reads
//! prompts meanwhile. All times here are in milliseconds.

/// Published figures of the engines of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory in tokens.
    pub memory_tokens: u64,
    /// Steps of a pass that includes writers.
    pub stride: u32,
    /// Milliseconds of a step.
    pub step_ms: f64,
    /// Milliseconds that each writer adds to a step.
    pub per_writer_ms: f64,
    /// Milliseconds that 1,000 tokens of a writer's context add to a step.
    pub context_ms_per_k: f64,
    /// Prompt tokens read in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Milliseconds for a million pairs of a token and an earlier one.
    pub pairs_ms_per_m: f64,
    /// Most prompt tokens read in a step.
    pub chunk: u32,
    /// Milliseconds that helpers add to each step of the first engine.
    pub hop_ms: f64,
    /// Mean number of tokens that an answer has.
    pub usual_output: u32,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            slots: 16,
            memory_tokens: 450_000,
            stride: 46,
            step_ms: 0.925,
            per_writer_ms: 0.005,
            context_ms_per_k: 0.0025,
            read_tokens_per_ms: 256.0,
            pairs_ms_per_m: 0.09,
            chunk: 2048,
            hop_ms: 0.1,
            usual_output: 1500,
        }
    }
}

impl EngineModel {
    /// Time to read a whole prompt.
    ///
    /// ```
    /// use bitternlead::gateway::engine_model::EngineModel;
    ///
    /// let model = EngineModel::default();
    /// let (once, twice) = (model.read_ms(100_000), model.read_ms(200_000));
    /// assert!(twice > 2.0 * once, "pairs grow with the square");
    /// ```
    pub fn read_ms(&self, prompt: u64) -> f64 {
        let tokens = prompt as f64;
        let pairs_m = tokens * tokens / 2.0 / 1e6;
        tokens / self.read_tokens_per_ms + pairs_m * self.pairs_ms_per_m
    }

    /// Time of the steps of one pass with so many writers and so much context in all.
    pub fn stride_ms(&self, writers: usize, context: u64) -> f64 {
        let context_k = context as f64 / 1000.0;
        let writing = self.per_writer_ms * writers as f64 + self.context_ms_per_k * context_k;
        f64::from(self.stride) * (self.step_ms + writing)
    }

    /// Most tokens that one pass with writers reads.
    pub fn pass_tokens(&self) -> f64 {
        f64::from(self.chunk) * f64::from(self.stride)
    }

    /// Longest reading in one pass with writers, for `tokens` that take `read_ms` in all.
    pub fn pass_read_ms(&self, tokens: u64, read_ms: f64) -> f64 {
        let per_pass = self.pass_tokens();
        if tokens as f64 <= per_pass { read_ms } else { read_ms * per_pass / tokens as f64 }
    }

    /// Passes that reading so many tokens takes beside writers.
    pub fn passes(&self, tokens: u64) -> f64 {
        let per_pass = self.pass_tokens();
        (tokens as f64 / per_pass).ceil().max(1.0)
    }
}
