#include "EventContext.h"

namespace skylarkchute {

void EventContext::AddCalls(CallingComponent aComponent, const std::vector<ObjectCall>& aCalls)
{
  for (const auto& it : aCalls) {
    Add(CallStoreAction{ mParts.mStoreCalls.Register(aComponent, it) });
  }
}

void EventContext::AddPeerCall(PeerCallTable::Origin aOrigin,
                               const InstanceId& aTo,
                               const std::string& aMethod,
                               const std::string& aMessage,
                               std::chrono::milliseconds aTimeout)
{
  PeerCall call;
  call.mId = mParts.mPeerCalls.Register(std::move(aOrigin));
  call.mTo = aTo;
  call.mMethod = aMethod;
  call.mParams = WriteEnvelope({ mParts.mFollower.LocalHead(Now()), aMessage });
  call.mTimeout = aTimeout;
  Add(CallPeerAction{ std::move(call) });
}

void EventContext::AddPeerAnswer(std::uint64_t aToken, const std::string& aMessage)
{
  Add(AnswerPeerAction{ aToken, WriteEnvelope({ mParts.mFollower.LocalHead(Now()), aMessage }) });
}

void EventContext::AddEvents(const std::vector<LogEvent>& aEvents)
{
  for (const auto& it : aEvents) {
    Add(LogAction{ it });
  }
}

} // namespace skylarkchute
