/**
 * The size of messages with commands. Guards against answers and direct messages above the limit of the protocol, which
 * jobs with long ids caused: the number of commands in a message was bounded, not their size.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { AgentCommand } from '../src/core/model/heartbeats.js';
import { attempt, fencingToken, jobId } from '../src/core/model/ids.js';
import { commandsToWire, directCommandsToWire } from '../src/io/agents/agent-messages.js';

/** "A request body may be at most 64 KiB. No response to workers or users may contain a line longer than 64 KiB." */
const MAX_MESSAGE_BYTES = 64 * 1024;
const TOKEN = fencingToken(Number.MAX_SAFE_INTEGER);

const commandOf = (op: AgentCommand['op'], id: string, index: number, gracePeriodS: number): AgentCommand => {
  const target = { job: jobId(id), index, attempt: attempt(Number.MAX_SAFE_INTEGER) };
  return op === 'stop' ? { op, gracePeriodS, ...target } : { op, ...target };
};

test('a message holds the first commands in their order, as many as its limit allows, whatever the ids of the jobs', () => {
  fc.assert(
    fc.property(
      fc.constantFrom('start', 'stop', 'forget'),
      fc.integer({ min: 1, max: 100 }),
      fc.double({ min: 0, max: 2e9, noNaN: true }),
      fc.integer({ min: 0, max: 2000 }),
      (op, idLength, gracePeriodS, count) => {
        const id = `wk-${'x'.repeat(idLength)}`;
        const commands = [...Array(count).keys()].map((index) => commandOf(op, id, index, gracePeriodS));
        const message = directCommandsToWire(TOKEN, Number.MAX_SAFE_INTEGER, commands);
        assert.ok(JSON.stringify(message).length <= MAX_MESSAGE_BYTES);
        assert.ok(JSON.stringify(commandsToWire(TOKEN, commands)).length <= MAX_MESSAGE_BYTES);
        const sent = message.orders.map(({ shard }) => shard);
        assert.deepEqual(
          sent,
          commands.slice(0, sent.length).map(({ index }) => `${id}/${index}`),
        );
        assert.ok(sent.length >= Math.min(count, 300));
      },
    ),
  );
});
