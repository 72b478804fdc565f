/** All events that the service logs; docs/operations.md describes what operators should do about each. */

/** Messages of log lines: the subject, then its state or what has happened to it. */
export const LOG_EVENT = {
  /** Level `info`. The controller has started and accepts requests. Fields: `node`, `incarnation`, `bind`. */
  controllerServing: 'controller serving',
  /**
   * Level `info`. The lease of this controller's session has ended; the controller opens a new session. Fields:
   * `lease`.
   */
  sessionLeaseExpired: 'session lease expired',
  /**
   * Level `info`. This controller no longer answers the agents of shards that it holds, since its session may have
   * ended and other controllers reach the state service: it redirects them. Fields: `holding`, `session`.
   */
  agentAnswersSuspended: 'agent answers suspended',
  /** Level `info`. This controller answers the agents of its shards again. Fields: `holding`, `session`. */
  agentAnswersResumed: 'agent answers resumed',
  /** Level `info`. This controller has become the leader. Fields: `lease`. */
  leadershipAcquired: 'leadership acquired',
  /**
   * Level `info`. This controller has acquired the shard named after it, from an earlier run of itself or as the first
   * holder. Fields: `shard`, `token`.
   */
  shardAcquired: 'shard acquired',
  /**
   * Level `info`. The leader assigns a shard to a controller, which becomes the shard's holder. Fields: `shard`,
   * `from`, `to`.
   */
  shardAssigned: 'shard assigned',
  /** Level `info`. The leader assigns a team to a shard, whose holder schedules it. Fields: `team`, `shard`. */
  teamAssigned: 'team assigned',
  /** Level `info`. The leader moves a machine to another shard. Fields: `machine`, `from`, `to`, `floor`, `reason`. */
  machineAssigned: 'machine assigned',
  /**
   * Level `info`. The leader creates the record of a machine that was found without one. Fields: `machine`, `to`,
   * `floor`.
   */
  machineRegistered: 'machine registered',
  /** Level `info`. The cloud lists the machine as failed; the machine is released. Fields: `machine`. */
  machineFailed: 'machine failed',
  /** Level `info`. The cloud no longer lists the machine; the machine is released. Fields: `machine`. */
  machineDelisted: 'machine delisted',
  /** Level `info`. The leader has decided to release the machine to the cloud. Fields: `machine`, `phase`, `ageS`. */
  machineReleaseDecided: 'machine release decided',
  /**
   * Level `info`. The cloud has confirmed the release of the machines; their records are removed. Fields: `machines`.
   */
  machinesReleased: 'machines released',
  /**
   * Level `info`. The cloud has answered a rental request. Fields: `rental`, `type`, `zone`, `spot`, `asked`, `got`.
   */
  machinesRented: 'machines rented',
  /** Level `info`. The machine has been silent for too long and is released. Fields: `machine`, `token`, `silentMs`. */
  machineUnreachable: 'machine unreachable',
  /** Level `info`. A submission was committed. Fields: `job`, `team`, `kind`, `tasks`, `class`. */
  jobAccepted: 'job accepted',
  /**
   * Level `info`. A job has been pending for long; `reason` says why it was not placed. Fields: `job`, `team`,
   * `priority`, `waitsS`, `reason`.
   */
  jobPending: 'job pending',
  /** Level `info`. The cancellation of a job begins; its tasks are stopped. Fields: `job`. */
  jobCancelling: 'job cancelling',
  /** Level `info`. The job has ended, done or cancelled. Fields: `job`, `state`, `done`. */
  jobFinished: 'job finished',
  /**
   * Level `info`. The job fails on every machine and is not retried before `until`. Fields: `job`, `rounds`, `why`,
   * `machines`, `until`.
   */
  jobFailing: 'job failing',
  /**
   * Level `info`. A task of a job that failed on every machine runs longer than those that failed, so that all its tasks
   * may start again. Fields: `job`, `rounds`.
   */
  jobRecovered: 'job recovered',
  /**
   * Level `info`. The start of a task on a machine was decided. Fields: `task`, `team`, `attempt`, `machine`, `token`,
   * `share`, `fitness`, `fetchRank`.
   */
  taskPlaced: 'task placed',
  /** Level `info`. A task has left its machine. Fields: `task`, `attempt`, `machine`, `token`, `reason`. */
  taskExited: 'task exited',
  /**
   * Level `info`. Tasks of a job are stopped in favour of another job. Fields: `job`, `tasks`, `attempt`, `machine`,
   * `for`, `entitled`.
   */
  taskPreempted: 'task preempted',
  /** Level `info`. Requests to the state service and writes since the start. Fields: see docs/operations.md. */
  stateServiceUsage: 'state service usage',
  /** Level `debug`. A command is sent to an agent. Fields: `op`, `task`, `attempt`, `machine`, `token`. */
  agentCommandSent: 'agent command sent',
  /**
   * Level `debug`. A cancellation was forwarded to the controller that schedules the job's team. Fields: `job`, `ms`,
   * `outcome`.
   */
  cancellationForwarded: 'cancellation forwarded',
  /**
   * Level `error`. The state service has rejected a transaction as malformed or too large. Fields: `keys`, `answer`.
   */
  transactionRejected: 'transaction rejected',
  /**
   * Level `error`. Guards failed in the state service although this controller's view, which has reached that revision,
   * has the guarded versions: the view is wrong. Fields: `keys`, `revision`.
   */
  viewContradicted: 'view contradicted',
  /** Level `error`. An HTTP request failed with an unexpected error and was answered 503. Fields: `err`. */
  requestFailed: 'request failed',
  /** Level `error`. A pass of the shard controller failed and will be repeated. Fields: `err`. */
  reconcileLoopFailed: 'reconcile loop failed',
  /** Level `error`. A pass of the leader failed and will be repeated. Fields: `err`. */
  leaderLoopFailed: 'leader loop failed',
  /**
   * Level `error`. Reading the cloud's machine types or its list of machines, or comparing the records with it, failed
   * and will be repeated. Fields: `err`.
   */
  cloudInventoryFailed: 'cloud inventory failed',
  /** Level `error`. Releasing machines to the cloud failed and will be repeated. Fields: `err`. */
  machineReleaseFailed: 'machine release failed',
  /** Level `error`. Renting machines failed and will be repeated. Fields: `err`. */
  machineRentalFailed: 'machine rental failed',
  /**
   * Level `error`. A plugin has failed with an error; the controller continues without it. Fields: `err`, `package`.
   */
  pluginFailed: 'package failed',
} as const;
