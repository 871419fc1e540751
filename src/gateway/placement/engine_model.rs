//! Cost model of an engine, based on the figures that its service publishes.
//!
//! An engine works in passes. A pass with decoding streams runs `stride` decoding steps and
//! prefills prompts beside them. All times are in milliseconds.

/// Published figures for the engines of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// KV cache capacity in tokens.
    pub memory_tokens: u64,
    /// Decoding steps in a pass that includes decoding streams; a stream emits one event per pass.
    pub stride: u32,
    /// Base time of a decoding step in milliseconds.
    pub step_ms: f64,
    /// Time that each decoding stream adds to a step, in milliseconds.
    pub per_stream_ms: f64,
    /// Time that every 1,000 tokens of context of the decoding streams add to a step, in
    /// milliseconds.
    pub context_ms_per_k: f64,
    /// Prefill speed in tokens per millisecond, without the cost of attention.
    pub prefill_tokens_per_ms: f64,
    /// Attention cost of prefill: milliseconds for a million pairs of a token and an earlier
    /// token.
    pub attention_ms_per_m_pairs: f64,
    /// Maximum number of prompt tokens prefilled in one step.
    pub chunk_tokens: u32,
    /// Time that helpers add to each step of the primary engine, in milliseconds.
    pub hop_ms: f64,
    /// Mean output length of a request in tokens.
    pub mean_output_tokens: u32,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            slots: 16,
            memory_tokens: 450_000,
            stride: 46,
            step_ms: 0.925,
            per_stream_ms: 0.005,
            context_ms_per_k: 0.0025,
            prefill_tokens_per_ms: 256.0,
            attention_ms_per_m_pairs: 0.09,
            chunk_tokens: 2048,
            hop_ms: 0.1,
            mean_output_tokens: 1500,
        }
    }
}

impl EngineModel {
    /// Time to prefill a whole prompt on one engine.
    ///
    /// ```
    /// use bitternlead::gateway::placement::engine_model::EngineModel;
    ///
    /// let model = EngineModel::default();
    /// let (once, twice) = (model.prefill_ms(100_000), model.prefill_ms(200_000));
    /// assert!(twice > 2.0 * once, "pairs grow with the square");
    /// ```
    pub fn prefill_ms(&self, prompt: u64) -> f64 {
        let tokens = prompt as f64;
        let pairs_m = tokens * tokens / 2.0 / 1e6;
        tokens / self.prefill_tokens_per_ms + pairs_m * self.attention_ms_per_m_pairs
    }

    /// Requests per second that an engine with all slots in use completes, if decoding takes most of
    /// the time.
    ///
    /// ```
    /// use bitternlead::gateway::placement::engine_model::EngineModel;
    ///
    /// let per_s = EngineModel::default().usual_requests_per_s();
    /// assert!((8.0..12.0).contains(&per_s), "16 slots, and 1,500 tokens of 1 ms for a request");
    /// ```
    pub fn usual_requests_per_s(&self) -> f64 {
        let streams = f64::from(self.slots);
        let token_ms = self.step_ms + self.per_stream_ms * streams;
        streams * 1000.0 / (f64::from(self.mean_output_tokens) * token_ms).max(1.0)
    }

    /// Time of the decoding steps of one pass, for this number of streams and their total context
    /// in tokens.
    pub fn stride_ms(&self, streams: usize, context_tokens: u64) -> f64 {
        let context_k = context_tokens as f64 / 1000.0;
        let per_step_ms = self.per_stream_ms * streams as f64 + self.context_ms_per_k * context_k;
        f64::from(self.stride) * (self.step_ms + per_step_ms)
    }

    /// Maximum number of prompt tokens that one pass prefills beside decoding streams.
    pub fn pass_prefill_tokens(&self) -> f64 {
        f64::from(self.chunk_tokens) * f64::from(self.stride)
    }

    /// Largest prefill time within one pass beside decoding streams, for `tokens` that take
    /// `prefill_ms` in total.
    pub fn max_pass_prefill_ms(&self, tokens: u64, prefill_ms: f64) -> f64 {
        let tokens_per_pass = self.pass_prefill_tokens();
        if tokens as f64 <= tokens_per_pass {
            prefill_ms
        } else {
            prefill_ms * tokens_per_pass / tokens as f64
        }
    }

    /// Number of passes needed to prefill `tokens` beside decoding streams.
    pub fn pass_count(&self, tokens: u64) -> f64 {
        let tokens_per_pass = self.pass_prefill_tokens();
        (tokens as f64 / tokens_per_pass).ceil().max(1.0)
    }
}
