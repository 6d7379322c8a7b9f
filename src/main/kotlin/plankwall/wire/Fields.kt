package plankwall.wire

/**
 * The protocols' field names that differ from the terms used in this code. The codecs refer to them by these constants,
 * so that this object alone maps the protocols' vocabulary. Field names that equal this code's terms are written out in
 * the codecs.
 */
internal object Fields {
    // Fields of job descriptions.
    const val JOB_CLASS = "docket"
    const val TEAM = "crew"
    const val PRIORITY = "urgency"
    const val TASKS = "pieces"
    const val CPUS = "cores"
    const val GPUS = "accelerators"
    const val MEMORY_GB = "ram_gb"
    const val IMAGE = "mould"
    const val IMAGE_GB = "size_gb"
    const val ONE_ZONE = "together"
    const val SPREAD = "scatter"
    const val ESTIMATE_S = "guess_s"
    const val CHECKPOINT_S = "snapshot_s"
    const val SAVE_S = "stow_s"
    const val DEADLINE_S = "due_s"
    const val DEPENDENCIES = "awaits"

    // Fields about machines in job descriptions, heartbeats and the cloud's messages.
    const val MACHINE = "berth"
    const val MACHINES = "berths"
    const val MACHINE_TYPE = "build"
    const val MACHINE_TYPES = "builds"
    const val ZONE = "yard"
    const val ZONES = "yards"
    const val SPOT = "loaners"

    // Fields of heartbeats and of the answers to them.
    const val AGENT_EPOCH = "watch"
    const val SEQUENCE_NUMBER = "tally"
    const val FENCING_TOKEN = "baton"
    const val PREEMPTION_NOTICE_S = "recall_s"
    const val TASK = "piece"
    const val ATTEMPT = "try"
    const val CHECKPOINT_SAVED = "kept"
    const val COMMAND = "verb"
    const val GRACE_PERIOD_S = "wind_down_s"
    const val ASSIGNED_CONTROLLER = "foreman"

    // Fields of the cloud's messages.
    const val FETCH_GB_PER_S = "pull_gb_per_s"
    const val PRICE = "rate"
    const val SPOT_PRICE = "low_price"
    const val BOOT_S = "ready_s"
    const val REQUEST_ID = "charter"
    const val COUNT = "how_many"
    const val AGE_S = "held_s"
    const val HAS_MORE = "has_next"

    // Fields of the state service's messages, which use [HAS_MORE] too.
    const val VERSION = "stamp"
    const val LEASE = "permit"
    const val REVISION = "ledger"
    const val TTL_MS = "life_ms"
    const val EVENTS = "news"
}
