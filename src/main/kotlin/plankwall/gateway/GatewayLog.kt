package plankwall.gateway

import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** The logger of this package, under the name that operators' log filters have. */
internal val log: Logger = LoggerFactory.getLogger("gate")
