/** All events that the plugin logs; docs/operations/warm-standby.md describes what operators do about each. */

/** Messages of log lines: subject first, then a state or what has happened. */
export const LOG_EVENT = {
  /** Level `info`. A shard's holder has been silent for unusually long and is probed. Fields: `shard`, `holder`, `phi`. */
  holderSuspected: 'holder suspected',
  /** Level `info`. A suspected holder keeps its shard for now, for the given reason. Fields: `shard`, `holder`, `reason`. */
  failoverDeferred: 'failover deferred',
  /** Level `info`. The transaction that takes over a shard has ended with the outcome. Fields: `shard`, `from`, `outcome`. */
  failoverAttempted: 'failover attempted',
  /** Level `error`. An unexpected error ended a failover; it is retried while the holder is suspected. Fields: `err`, `shard`. */
  failoverFailed: 'failover failed',
  /** Level `info`. This controller now holds a shard that another one held. Fields: `shard`, `from`, `cause`, `epoch`, `warm`. */
  shardReceived: 'shard received',
  /** Level `info`. An operator's handover has ended; refused shards were not handed over. Fields: `handedOver`, `refused`. */
  handoverFinished: 'handover finished',
  /** Level `info`. A replication message could not be decoded and was not applied. Fields: `from`, `code`, `reason`. */
  standbyMessageRejected: 'standby message rejected',
  /** Level `error`. An unexpected error ended sending to a standby; it is retried after a pause. Fields: `err`, `standby`. */
  replicationFailed: 'replication failed',
} as const;
