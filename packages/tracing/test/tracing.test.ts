/**
 * Spans of jobs and failovers, and their export. Guards against one job's spans in several traces, since controllers share no
 * ids and derive them from the job, and against exporters that hang, reject spans or fail: they must lose no more than their
 * own batch, and the queue must not grow meanwhile.
 */
import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync } from 'node:fs';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { describe, it } from 'node:test';
import { ExportResultCode } from '@opentelemetry/core';
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http';
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-base';
import type { ServiceEvent } from '../../../src/core/events.js';
import {
  attempt,
  jobId,
  machineName,
  teamName,
  fencingToken,
  typeName,
  zoneName,
} from '../../../src/core/model/ids.js';
import { monotonicMs } from '../../../src/core/model/time.js';
import { key } from '../../../src/core/records/keys.js';
import { systemClock } from '../../../src/io/system-clock.js';
import { ProcessClock, VirtualTime } from '../../../test/sim/virtual-time.js';
import { JobSpans } from '../src/job-spans.js';
import { JsonLinesExporter, type SpanLine } from '../src/json-lines-exporter.js';
import { SpanQueue } from '../src/span-queue.js';
import { SpanTracer } from '../src/span-tracer.js';
import { isSampled, jobContext } from '../src/trace-ids.js';

const OPTIONS = { queue_spans: 10, batch_spans: 4, flush_ms: 100, timeout_ms: 500 };

class CollectingExporter implements SpanExporter {
  readonly spans: ReadableSpan[] = [];
  export(spans: ReadableSpan[], done: Parameters<SpanExporter['export']>[1]): void {
    this.spans.push(...spans);
    done({ code: ExportResultCode.SUCCESS });
  }
  shutdown(): Promise<void> {
    return Promise.resolve();
  }
}

const simulatedTime = () => {
  const time = new VirtualTime(1);
  return { time, clock: new ProcessClock(time, 1, 0) };
};

const job = jobId('wk-1');
const machine = machineName('n-1');
const task = { job, index: 2, attempt: attempt(5), machine };
const heartbeatEvent = (tasks: readonly { state: 'fetching' }[]): ServiceEvent => ({
  kind: 'heartbeat_recorded',
  heartbeat: {
    machine,
    address: 'a:1',
    type: typeName('m'),
    zone: zoneName('a'),
    spot: false,
    agentEpoch: 1,
    sequence: 1,
    token: fencingToken(3),
    preemptionNoticeS: null,
    tasks: tasks.map((t) => ({ ...task, ...t, exitReason: null, hasCheckpoint: false })),
  },
});

describe('spans of a job', () => {
  // A step ends only with its own event: a transaction of another machine or with a conflict does not end the commit, and a
  // heartbeat without the task is not its first report.
  it("each step of a job gives one span with its times, in the trace derived from the job's id", async () => {
    const { time, clock } = simulatedTime();
    const exporter = new CollectingExporter();
    const queue = new SpanQueue('test', exporter, clock, OPTIONS);
    const spans = new JobSpans(new SpanTracer('c-0', clock, [queue]), 1, () => clock.now());
    const steps: [number, ServiceEvent][] = [
      [10, { kind: 'job_accepted', job, team: teamName('t'), since: monotonicMs(4) }],
      [20, { kind: 'task_placed', task, team: teamName('t') }],
      [
        30,
        {
          kind: 'transaction',
          keys: [key.machine(machineName('n-2'))],
          outcome: 'ok',
          since: monotonicMs(20),
        },
      ],
      [
        31,
        { kind: 'transaction', keys: [key.machine(machine)], outcome: 'conflict', since: monotonicMs(20) },
      ],
      [35, { kind: 'transaction', keys: [key.machine(machine)], outcome: 'ok', since: monotonicMs(20) }],
      [50, { kind: 'command_sent', machine, command: { op: 'start', job, index: 2, attempt: attempt(5) } }],
      [55, heartbeatEvent([])],
      [90, heartbeatEvent([{ state: 'fetching' }])],
      [95, heartbeatEvent([{ state: 'fetching' }])],
    ];
    for (const [at, event] of steps)
      time.at(at, () => {
        spans.onEvent(event);
      });
    await time.runUntil(100);
    await queue.forceFlush();
    const recorded = exporter.spans.map((s) => [s.name, Math.round(s.duration[1] / 1e6)]);
    assert.deepEqual(recorded, [
      ['job.submit', 6],
      ['task.commit', 15],
      ['task.command', 15],
      ['task.first_report', 40],
    ]);
    const { traceId, spanId } = jobContext(job);
    for (const s of exporter.spans) {
      assert.equal(s.spanContext().traceId, traceId);
      assert.equal(s.parentSpanContext?.spanId, spanId);
    }
  });
});

describe('sampling and reserved spans', () => {
  it('the sampled jobs are the same at every controller, at about the configured ratio', () => {
    const ids = [...Array(2000).keys()].map((i) => jobContext(`wk-${i}`));
    const sampledRatio = ids.filter((c) => isSampled(c, 0.25)).length / ids.length;
    assert.ok(sampledRatio > 0.2 && sampledRatio < 0.3, `sampled ratio ${sampledRatio}, expected about 0.25`);
    assert.equal(ids.filter((c) => isSampled(c, 0)).length, 0);
    assert.equal(ids.filter((c) => isSampled(c, 1)).length, ids.length);
  });

  it('a reserved span is the parent of spans recorded before it, also at another controller', async () => {
    const { clock } = simulatedTime();
    const exporter = new CollectingExporter();
    const queue = new SpanQueue('test', exporter, clock, OPTIONS);
    const [localTracer, remoteTracer] = ['c-0', 'c-1'].map((node) => new SpanTracer(node, clock, [queue]));
    const handoverContext = localTracer!.reserve();
    const takeoverContext = remoteTracer!.reserve(handoverContext);
    remoteTracer!.record({ name: 'phase', startMs: 1, endMs: 2, parent: takeoverContext });
    remoteTracer!.record({
      name: 'takeover',
      startMs: 1,
      endMs: 3,
      parent: handoverContext,
      context: takeoverContext,
    });
    localTracer!.record({ name: 'handover', startMs: 0, endMs: 4, context: handoverContext });
    localTracer!.record({ name: 'odd', startMs: 5, endMs: 4, parent: 'no context' });
    await queue.forceFlush();
    const [phase, takeover, handover, odd] = exporter.spans;
    assert.equal(phase!.parentSpanContext?.spanId, takeover!.spanContext().spanId);
    assert.equal(takeover!.parentSpanContext?.spanId, handover!.spanContext().spanId);
    assert.equal(new Set([phase, takeover, handover].map((s) => s!.spanContext().traceId)).size, 1);
    assert.notEqual(odd!.spanContext().traceId, handover!.spanContext().traceId);
  });
});

describe('span queue', () => {
  it('an exporter that hangs, fails or throws loses only its batch; the queue is bounded and drops are counted', async () => {
    const { time, clock } = simulatedTime();
    const outcomes: ('hang' | 'fail' | 'throw' | 'ok')[] = ['hang', 'fail', 'throw', 'ok', 'ok', 'ok'];
    const exporter: SpanExporter = {
      export: (_spans, done) => {
        const outcome = outcomes.shift();
        if (outcome === 'throw') throw new Error('broken');
        if (outcome === 'hang') return;
        done({ code: outcome === 'ok' ? ExportResultCode.SUCCESS : ExportResultCode.FAILED });
      },
      shutdown: () => Promise.resolve(),
    };
    const queue = new SpanQueue('test', exporter, clock, OPTIONS);
    const tracer = new SpanTracer('c-0', clock, [queue]);
    for (let i = 0; i < 25; i++) tracer.record({ name: 's', startMs: 0, endMs: 1 });
    assert.deepEqual([queue.queued, queue.counts.dropped], [10, 15]);
    void queue.run();
    await time.runUntil(650);
    assert.deepEqual(
      queue.counts,
      { exported: 0, failed: 4, dropped: 15 },
      'the export that hangs fails after timeout_ms',
    );
    await time.runUntil(5000);
    assert.deepEqual([queue.queued, queue.counts], [0, { exported: 0, failed: 10, dropped: 15 }]);
    for (let i = 0; i < 9; i++) tracer.record({ name: 's', startMs: 0, endMs: 1 });
    await time.runUntil(9000);
    assert.deepEqual(queue.counts, { exported: 9, failed: 10, dropped: 15 });
  });
});

describe('OTLP/HTTP exporter', () => {
  it('spans are exported over OTLP/HTTP, and rejected ones are counted as failed', async () => {
    const bodies: string[] = [];
    let status = 200;
    const collector = http.createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on('data', (c: Buffer) => chunks.push(c));
      req.on('end', () => {
        bodies.push(Buffer.concat(chunks).toString());
        res.writeHead(status, { 'content-type': 'application/json' }).end('{}');
      });
    });
    await new Promise<void>((r) => collector.listen(0, '127.0.0.1', r));
    const url = `http://127.0.0.1:${(collector.address() as AddressInfo).port}/v1/traces`;
    const queue = new SpanQueue(
      'collector',
      new OTLPTraceExporter({ url, timeoutMillis: 5000 }),
      systemClock,
      {
        ...OPTIONS,
        timeout_ms: 10_000,
      },
    );
    const tracer = new SpanTracer('c-7', systemClock, [queue]);
    try {
      tracer.record({ name: 'takeover', startMs: 1, endMs: 2, attributes: { slice: 'c-3' } });
      await queue.forceFlush();
      assert.equal(queue.counts.exported, 1);
      const text = bodies.join('');
      for (const word of ['takeover', 'c-7', 'c-3', 'pepperbank'])
        assert.ok(text.includes(word), `${word} is missing in ${text}`);
      status = 400;
      tracer.record({ name: 'takeover', startMs: 1, endMs: 2 });
      await queue.forceFlush();
      assert.equal(queue.counts.failed, 1);
    } finally {
      await queue.shutdown();
      collector.closeAllConnections();
      await new Promise((r) => collector.close(r));
    }
  });
});

describe('JSON lines exporter', () => {
  it('the span file has one span a line, and is rotated at its maximum size', async () => {
    const file = path.join(mkdtempSync(path.join(os.tmpdir(), 'pepperbank-')), 'spans.jsonl');
    const queue = new SpanQueue('file', new JsonLinesExporter(file, 400, 'c-0'), systemClock, OPTIONS);
    const tracer = new SpanTracer('c-0', systemClock, [queue]);
    for (const name of ['one', 'two', 'three']) {
      tracer.record({ name, startMs: 1, endMs: 3.5, attributes: { slice: 'c-1' } });
      await queue.forceFlush();
    }
    const read = (f: string) =>
      readFileSync(f, 'utf8')
        .trim()
        .split('\n')
        .map((l) => JSON.parse(l) as SpanLine);
    const lines = [...read(`${file}.1`), ...read(file)];
    assert.deepEqual(
      lines.map((l) => l.name),
      ['one', 'two', 'three'],
    );
    assert.deepEqual([lines[0]?.attributes, lines[0]?.node], [{ slice: 'c-1' }, 'c-0']);
    assert.ok(Math.abs(lines[0]!.durationMs - 2.5) < 0.01);
    assert.ok(read(file).length < 3);
  });
});
