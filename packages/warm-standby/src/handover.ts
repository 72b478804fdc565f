/** Planned handover: what a controller holds goes to warm standbys before it is restarted, without waiting for detection. */
import { Type } from '@sinclair/typebox';
import { firstSchemaError } from '../../../src/config/platform-settings.js';
import type { NodeName } from '../../../src/core/model/ids.js';
import type { CommandReply, PluginServices, ShardFact } from '../../../src/plugin-host/api.js';
import type { Cluster } from './cluster.js';
import { LOG_EVENT } from './log-events.js';
import { TOPIC, decodePrepareAnswer, encodePrepare, readAnswer } from './messages.js';
import type { Options } from './options.js';
import type { Publisher } from './publisher.js';

const RequestSchema = Type.Object(
  { to: Type.Optional(Type.String({ minLength: 1 })) },
  { additionalProperties: false },
);

/** A shard that stays, and why. */
interface Refusal {
  readonly slice: NodeName;
  readonly reason: string;
}

/** A shard that goes. */
interface Move {
  readonly fact: ShardFact;
  readonly to: NodeName;
}

/** Hands shards over on an operator's word. */
export class Handover {
  private isRunning = false;

  constructor(
    private readonly service: PluginServices,
    private readonly cluster: Cluster,
    private readonly publisher: Publisher,
    private readonly options: Options,
  ) {}

  /** The operator's command. */
  async request(body: unknown): Promise<CommandReply> {
    const asked = body ?? {};
    const wrong = firstSchemaError(RequestSchema, asked);
    if (wrong !== null) return { status: 400, body: { error: wrong } };
    const to = (asked as { to?: string }).to as NodeName | undefined;
    if (to !== undefined && !this.service.peers.some((p) => p.node === to))
      return { status: 400, body: { error: `to: ${to} is no other controller` } };
    if (!this.service.facts.isReady) return { status: 503, body: { error: 'not ready' } };
    if (this.isRunning) return { status: 409, body: { error: 'a handover is under way' } };
    this.isRunning = true;
    try {
      return await this.handOver(to);
    } finally {
      this.isRunning = false;
    }
  }

  private async handOver(to: NodeName | undefined): Promise<CommandReply> {
    const { clock, tracer, log } = this.service;
    const startMs = clock.now();
    const span = tracer.reserve();
    const refused: Refusal[] = [];
    const moves: Move[] = [];
    for (const fact of this.cluster.heldShards()) {
      const prepared = await this.prepare(fact, to, span);
      if (typeof prepared === 'string') refused.push({ slice: fact.name, reason: prepared });
      else moves.push(prepared);
    }
    const handedOver = await this.commit(moves, refused);
    log.info({ handedOver, refused }, LOG_EVENT.handoverFinished);
    tracer.record({ name: 'handover', startMs, endMs: clock.now(), self: span });
    return { status: refused.length === 0 ? 200 : 409, body: { handedOver, refused } };
  }

  /** A warm standby that is ready for the shard, or why there is none. */
  private async prepare(fact: ShardFact, to: NodeName | undefined, span: string): Promise<Move | string> {
    const standbys = this.cluster.standbysOf(fact);
    if (to !== undefined && !standbys.includes(to)) return `${to} is no standby of this slice`;
    let reason = 'it has no standby in another failure domain';
    for (const node of to === undefined ? standbys : [to]) {
      if (!(await this.publisher.drain(fact, node, this.options.handover.drain_ms))) {
        reason = `${node} does not keep up with the log`;
        continue;
      }
      const refusal = await this.ask(fact, node, span);
      if (refusal === null) return { fact, to: node };
      reason = `${node} ${refusal}`;
    }
    return reason;
  }

  private async ask(fact: ShardFact, node: NodeName, traceParent: string): Promise<string | null> {
    const { name: shard, epoch } = fact;
    const head = this.publisher.shards.get(shard)?.followers.get(node)?.acknowledged ?? 0;
    const payload = encodePrepare({ shard, epoch, head, traceParent });
    const reply = await this.service.channel.ask(
      node,
      TOPIC.prepare,
      payload,
      this.options.replication.answer_ms,
    );
    if (reply === null) return 'does not answer';
    const answer = readAnswer(decodePrepareAnswer, reply);
    if (answer === null) return 'gave an answer that cannot be read';
    return answer.accepted ? null : answer.reason;
  }

  private async commit(
    moves: readonly Move[],
    refused: Refusal[],
  ): Promise<{ slice: NodeName; to: NodeName }[]> {
    const out: { slice: NodeName; to: NodeName }[] = [];
    const targets = new Set(moves.map((m) => m.to));
    for (const to of targets) {
      const facts = moves.filter((m) => m.to === to).map((m) => m.fact);
      const outcome = await this.service.shardControl.handOver(facts, to, this.options.handover.hold_ms);
      for (const { name: shard } of facts) {
        if (outcome.kind === 'committed') out.push({ slice: shard, to });
        else refused.push({ slice: shard, reason: `the change was not committed: ${outcome.kind}` });
      }
    }
    return out;
  }
}
