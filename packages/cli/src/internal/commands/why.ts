import { z } from 'zod';
import type { TimelineEvent, WhyReason, WhyView } from '@redwingcrank/protocol';
import { CodedError } from '@redwingcrank/protocol';
import { nodesSchema } from '../cli-settings.js';
import { Command, clusterOf } from '../command.js';
import type { Output } from '../output.js';
import { formatEvent, sortEvents } from '../timeline-events.js';

const schema = nodesSchema.extend({
  task: z.string().regex(/^[^/]+\/[^/]+\/\d+$/, 'dataCentre/owner/index'),
});

/** The reason given by nodes of other data centres, which know nothing about the task. */
const OTHER_DATA_CENTRE = 'other-data-centre';

/** Explains why a task runs where it does, or does not run, from the answers of all nodes. */
export class Why extends Command<z.infer<typeof schema>> {
  readonly usage = 'why <task>';

  readonly summary = 'Every reason why a task runs where it does, or does not run';

  readonly examples = [['why dc1/routes/0', 'The first task of the job routes in dc1']] as const;

  readonly schema = schema;

  async run(settings: z.infer<typeof schema>, out: Output): Promise<void> {
    const nodes = await clusterOf(settings).reachable();
    const answers = nodes.map(({ client }) => client.why(settings.task).catch(() => undefined));
    const views = (await Promise.all(answers)).filter((view) => view !== undefined);
    const localViews = views.filter((view) =>
      view.reasons.every(({ reason }) => reason !== OTHER_DATA_CENTRE),
    );
    // The holder of the term knows why a task waits; the others know only the records of the log.
    const best = localViews.find((view) => view.holds) ?? localViews[0];
    if (!best) {
      const detail = `no node of the data centre of ${settings.task} answered`;
      throw new CodedError('notFound', detail);
    }
    const reasons = mergeReasons(best, localViews);
    const history = mergeHistory(views);
    out.value({ ...best, reasons, history });
    out.line(`${best.taskId}: ${best.state}, according to ${best.nodeId}`);
    for (const { reason, detail } of reasons) out.line(`  ${reason}: ${detail}`);
    out.line(history.length > 0 ? 'Event history:' : 'No events of the task are retained.');
    for (const event of history) out.line(`  ${formatEvent(event)}`);
  }
}

/** Returns the reasons of one view, without the hint to ask the holder if the holder answered. */
function mergeReasons(best: WhyView, localViews: readonly WhyView[]): WhyReason[] {
  const holderAnswered = localViews.some((view) => view.holds);
  return best.reasons.filter(({ reason }) => !(holderAnswered && reason === 'not-holder'));
}

function mergeHistory(views: readonly WhyView[]): TimelineEvent[] {
  return sortEvents(views.flatMap((view) => view.history));
}
