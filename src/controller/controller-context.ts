/** What the modules of one controller share: its settings, its view of the cluster and access to the state service. */
import type { Logger } from 'pino';
import type { OperatorSettings } from '../config/operator-settings.js';
import type { PlatformSettings } from '../config/platform-settings.js';
import { EventBus } from '../core/events.js';
import { LOG_EVENT } from '../core/log-events.js';
import type { Clock } from '../core/model/clock.js';
import type { Team } from '../core/model/cluster.js';
import { incarnation, type Incarnation, type TeamName } from '../core/model/ids.js';
import { ClusterView } from '../core/state/cluster-view.js';
import { viewChangesOf } from '../core/state/view-changes.js';
import type { Transport } from '../io/http-client.js';
import { StateClient } from '../io/state/state-client.js';
import type { StateServiceLimits } from '../io/state/state-limits.js';
import type { WriteOperation } from '../io/state/state-messages.js';
import { StateWatcher } from '../io/state/state-watcher.js';
import { AllocationTracker } from './allocation-tracker.js';
import { DependencyTracker } from './dependency-tracker.js';
import { FinalStateCache } from './final-state-cache.js';
import { MachineRooms } from './machine-rooms.js';
import { RecordBudget } from './record-budget.js';
import { SchedulingPolicy } from './scheduling-policy.js';
import { ShardOwnership } from './shard-ownership.js';
import { TransactionGuards } from './transaction-guards.js';
import { ViewChangeFeed } from './view-change-feed.js';

/** What a `ControllerContext` is created from. */
export interface ControllerContextOptions {
  readonly settings: PlatformSettings;
  readonly operator: OperatorSettings;
  readonly log: Logger;
  readonly clock: Clock;
  /** Id of this run of the process; unique over all restarts of all controllers. */
  readonly identity: string;
  readonly stateTransport: Transport;
  /** Separate from `stateTransport`, since a pending watch request occupies its connection. */
  readonly watchTransport: Transport;
}

/** Limits of the state service: those in force, and the lower ones (`next`) to which they may drop without notice. */
function stateLimitsOf({ stateLimits, controllerCount }: PlatformSettings): StateServiceLimits {
  const { rps, write_rps, txn_ops, value_kb, next } = stateLimits;
  return {
    rps,
    writeRps: write_rps,
    minRps: Math.min(rps, next?.rps ?? rps),
    minWriteRps: Math.min(write_rps, next?.write_rps ?? write_rps),
    // Sizes always obey the lower limits, so that no stored value exceeds the limit once it drops.
    operationsPerTransaction: Math.min(txn_ops, next?.txn_ops ?? txn_ops),
    valueBytes: Math.min(value_kb, next?.value_kb ?? value_kb) * 1024,
    controllerCount,
  };
}

/** The settings, view, clients and helpers that the loops of a controller share. */
export class ControllerContext {
  readonly settings: PlatformSettings;
  readonly operator: OperatorSettings;
  readonly log: Logger;
  readonly clock: Clock;
  readonly incarnation: Incarnation;
  readonly teams: ReadonlyMap<TeamName, Team>;
  readonly view = new ClusterView();
  readonly viewChanges = new ViewChangeFeed();
  /** Events of what this controller does and observes, for plugins. */
  readonly events = new EventBus();
  readonly state: StateClient;
  readonly watcher: StateWatcher;
  readonly allocations: AllocationTracker;
  readonly ownership: ShardOwnership;
  readonly guards: TransactionGuards;
  readonly recordBudget: RecordBudget;
  readonly machineRooms: MachineRooms;
  readonly finalStates: FinalStateCache;
  readonly dependencies: DependencyTracker;
  readonly policy: SchedulingPolicy;

  constructor(options: ControllerContextOptions) {
    const { settings, operator, log, clock } = options;
    const { view, viewChanges } = this;
    this.settings = settings;
    this.operator = operator;
    this.log = log;
    this.clock = clock;
    this.incarnation = incarnation(options.identity);
    this.teams = new Map(settings.teams.map((team) => [team.name, team]));
    this.state = this.createStateClient(options);
    this.finalStates = new FinalStateCache(this.state);
    this.watcher = new StateWatcher(this.state, view, {
      onChanged: (keys) => {
        viewChanges.publish(viewChangesOf(keys));
      },
      onCommitted: (operations) => {
        this.finalStates.recordCommitted(operations);
      },
      onContradicted: (contradiction) => {
        log.error(contradiction, LOG_EVENT.viewContradicted);
      },
    });
    this.allocations = new AllocationTracker(view, this.teams);
    this.ownership = new ShardOwnership(view, this.incarnation);
    this.guards = new TransactionGuards(view);
    this.recordBudget = new RecordBudget(this.state.limits.valueBytes);
    this.machineRooms = new MachineRooms(this.recordBudget);
    this.dependencies = new DependencyTracker({
      view,
      viewChanges,
      allocations: this.allocations,
      finalStates: this.finalStates,
      clock,
      heartbeatIntervalS: settings.agentTimings.report_s,
    });
    this.policy = new SchedulingPolicy(clock, operator.placement, this.allocations, this.dependencies);
  }

  private createStateClient({
    settings,
    log,
    clock,
    stateTransport,
    watchTransport,
  }: ControllerContextOptions): StateClient {
    const { events } = this;
    return new StateClient({
      limits: stateLimitsOf(settings),
      clock,
      transport: stateTransport,
      watchTransport,
      onTransactionRejected: (operations, answer) => {
        log.error({ keys: keysOf(operations), answer }, LOG_EVENT.transactionRejected);
      },
      onTransactionFinished: (operations, outcome, since) => {
        if (!events.isActive) return;
        events.emit({ kind: 'transaction', keys: keysOf(operations), outcome, since });
      },
    });
  }
}

const keysOf = (operations: readonly WriteOperation[]): string[] =>
  operations.map((operation) => operation.key);
