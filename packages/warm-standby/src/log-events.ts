/** All events that the package logs; docs/operations/warm-standby.md tells operators what each asks for. */

/** Messages of log lines: subject first, then a state or what has happened. */
export const LOG_EVENT = {
  /** Level `info`. A shard's holder is silent. Fields: `shard`, `holder`, `phi`. */
  holderSuspected: 'holder suspected',
  /** Level `info`. A failover is not tried yet. Fields: `shard`, `holder`, `reason`. */
  failoverDeferred: 'failover deferred',
  /** Level `info`. The transaction of a failover has ended. Fields: `shard`, `from`, `outcome`. */
  failoverAttempted: 'failover attempted',
  /** Level `error`. A failover ended with an unexpected error. Fields: `err`, `shard`. */
  failoverFailed: 'failover failed',
  /** Level `info`. This controller holds a further shard. Fields: `shard`, `from`, `cause`, `epoch`, `warm`. */
  shardReceived: 'shard received',
  /** Level `info`. An operator's handover is over. Fields: `handedOver`, `refused`. */
  handoverFinished: 'handover finished',
  /** Level `info`. A replication message was not taken. Fields: `from`, `code`, `reason`. */
  standbyMessageRejected: 'standby message rejected',
  /** Level `error`. Sending to a standby ended with an unexpected error. Fields: `err`, `standby`. */
  replicationFailed: 'replication failed',
} as const;
